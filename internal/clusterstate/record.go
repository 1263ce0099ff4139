package clusterstate

import (
	"encoding/json"
	"fmt"
	"strings"

	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/pkg/workflow"
)

// Keys of the journal. Those that end with a slash are followed by an id or a name.
const (
	jobPrefix      = "j/"
	cancelPrefix   = "c/"
	progressPrefix = "p/"
	entryPrefix    = "e/"
	agentPrefix    = "w/"
	plannerKey     = "planner"
	heartbeatKey   = "beat"
)

// Address is where a process of the system is reached.
type Address struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP and port.
	Zone    string `json:"zone"`
	// Worker is what the worker beside an agent offers, nil while that is not known.
	Worker *workflow.Worker `json:"worker,omitempty"`
}

// Planner names the process that plans.
type Planner struct {
	Name string `json:"name"`
	// Incarnation tells lives of the process apart.
	Incarnation string `json:"start"`
	// Resigned says that the planner has stopped by itself.
	Resigned bool `json:"resigned,omitempty"`
	// Epoch is the offset of the record by which the planner stepped up, plus one.
	Epoch int64 `json:"epoch,omitempty"`
}

// heartbeat says that the planner of an epoch is alive.
type heartbeat struct {
	Epoch int64 `json:"epoch"`
}

func record(key string, value any) journal.Record {
	data, err := json.Marshal(value)
	if err != nil {
		// All values are the package's own types, which always marshal.
		panic(fmt.Sprintf("ledger: record %s: %v", key, err))
	}
	return journal.Record{Key: key, Value: data}
}

// JobRecord says that a job is accepted.
func JobRecord(j *workflow.Job) journal.Record { return record(jobPrefix+j.ID, j) }

// CancelRecord says that a job is cancelled.
func CancelRecord(id string) journal.Record { return record(cancelPrefix+id, struct{}{}) }

// ProgressRecord says how far a job has come.
func ProgressRecord(id string, p Progress) journal.Record { return record(progressPrefix+id, p) }

// PlannerRecord says that a process steps up as the planner, or resigns.
func PlannerRecord(p Planner) journal.Record { return record(plannerKey, p) }

// HeartbeatRecord says that the planner is alive.
func HeartbeatRecord(epoch int64) journal.Record { return record(heartbeatKey, heartbeat{epoch}) }

// EntryRecord says where an entry is reached.
func EntryRecord(a Address) journal.Record { return record(entryPrefix+a.Name, a) }

// AgentRecord says where an agent is reached.
func AgentRecord(a Address) journal.Record { return record(agentPrefix+a.Name, a) }

// DeletionRecords remove all that the journal holds of a job.
func DeletionRecords(id string) []journal.Record {
	return []journal.Record{
		{Key: progressPrefix + id},
		{Key: cancelPrefix + id},
		{Key: jobPrefix + id},
	}
}

// splitKey splits a key into its prefix and the id behind it.
func splitKey(key string) (prefix, id string) {
	i := strings.IndexByte(key, '/')
	if i < 0 {
		return key, ""
	}
	return key[:i+1], key[i+1:]
}
