package clusterstate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/pkg/workflow"
)

// Keys of the journal's records. A prefix that ends with a slash is followed by an id or a name.
const (
	jobPrefix      = "j/"
	cancelPrefix   = "c/"
	progressPrefix = "p/"
	entryPrefix    = "e/"
	agentPrefix    = "w/"
	plannerKey     = "planner"
	heartbeatKey   = "beat"
	pacePrefix     = "pace/"
)

// Address is where a process of the system can be reached.
type Address struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP and port.
	Zone    string `json:"zone"`
	// CPUShare is the processor time that an entry gets, in cores; zero if it is not known.
	CPUShare float64 `json:"cpu-share,omitempty"`
	// MemoryMB is the memory that an entry may have, in MB; zero if it is not known.
	MemoryMB int `json:"memory-mb,omitempty"`
	// Build identifies the build of the process's program; empty for a version that didn't say.
	Build string `json:"build,omitempty"`
	// Started is when the process started, by its own time of day; zero for a version that didn't say.
	Started time.Time `json:"started,omitzero"`
	// Worker is what the agent's worker offers, nil until it is known.
	Worker *workflow.Worker `json:"worker,omitempty"`
}

// maxBuild is the maximum length of a build in an address, in bytes.
const maxBuild = 100

// check returns an error if the address can't be that of a process of this system.
func (a Address) check() error {
	host, port, err := net.SplitHostPort(a.Address)
	if err != nil {
		return fmt.Errorf("%w: %w", errOther, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); host == "" || err != nil || n == 0 {
		return fmt.Errorf("%w: address %q has no host, or a port out of range", errOther, a.Address)
	}
	if len(a.Build) > maxBuild {
		return fmt.Errorf("%w: build of %d bytes", errOther, len(a.Build))
	}
	if w := a.Worker; w != nil && (w.Service == "" || !w.Resources.Valid()) {
		return fmt.Errorf("%w: worker of service %q with %+v", errOther, w.Service, w.Resources)
	}
	return nil
}

// Planner identifies the process that plans.
type Planner struct {
	Name string `json:"name"`
	// Incarnation distinguishes restarts of the process.
	Incarnation string `json:"start"`
	// Resigned reports whether the planner has given up the role by itself.
	Resigned bool `json:"resigned,omitempty"`
	// Epoch is the offset of the record by which the planner took the role, plus one.
	Epoch int64 `json:"epoch,omitempty"`
}

// check returns an error if the record at an offset can't be that of a planner of this system, given the newest
// planner before.
func (p Planner) check(offset int64, old Planner) error {
	switch {
	case p.Name == "":
		return fmt.Errorf("%w: planner without a name", errOther)
	case p.Resigned && (p.Epoch < 1 || p.Epoch > offset):
		return fmt.Errorf("%w: planner %q resigned in epoch %d", errOther, p.Name, p.Epoch)
	case p.Resigned && p.Epoch == old.Epoch && (p.Name != old.Name || p.Incarnation != old.Incarnation):
		return fmt.Errorf("%w: planner %q resigned in epoch %d of %q", errOther, p.Name, p.Epoch, old.Name)
	}
	return nil
}

// heartbeat reports that the planner of an epoch is alive.
type heartbeat struct {
	Epoch int64 `json:"epoch"`
}

func record(key string, value any) journal.Record {
	data, err := json.Marshal(value)
	if err != nil {
		// All values are of types whose encoding can't fail.
		panic(fmt.Sprintf("clusterstate: encoding record %s: %v", key, err))
	}
	return journal.Record{Key: key, Value: data}
}

// JobRecord records that a job is accepted.
func JobRecord(j *workflow.Job) journal.Record { return record(jobPrefix+j.ID, j) }

// CancelRecord records that a job is cancelled.
func CancelRecord(id string) journal.Record { return record(cancelPrefix+id, struct{}{}) }

// ProgressRecord records the progress of a job that is not split.
func ProgressRecord(id string, p Progress) journal.Record { return record(progressPrefix+id, p) }

// PlannerRecord records that a process takes or resigns the role of planner.
func PlannerRecord(p Planner) journal.Record { return record(plannerKey, p) }

// HeartbeatRecord records that the planner of an epoch is alive.
func HeartbeatRecord(epoch int64) journal.Record { return record(heartbeatKey, heartbeat{epoch}) }

// EntryRecord records the address of an entry.
func EntryRecord(a Address) journal.Record { return record(entryPrefix+a.Name, a) }

// AgentRecord records the address of an agent and its worker.
func AgentRecord(a Address) journal.Record { return record(agentPrefix+a.Name, a) }

// ParseAddress decodes an address record; the zero value if it deletes its key.
func ParseAddress(r journal.Record) (Address, error) {
	if r.Value == nil {
		return Address{}, nil
	}
	var a Address
	if err := json.Unmarshal(r.Value, &a); err != nil {
		return Address{}, err
	}
	if err := a.check(); err != nil {
		return Address{}, err
	}
	_, a.Name = splitKey(r.Key)
	return a, nil
}

// DeletionRecords returns the records that remove a job from the journal, given the blocks of its progress
// beside the first.
func DeletionRecords(id string, blocks ...int) []journal.Record {
	var out []journal.Record
	for _, n := range slices.Compact(slices.Sorted(slices.Values(blocks))) {
		out = append(out, journal.Record{Key: blockKey(id, n)})
	}
	return append(out,
		journal.Record{Key: progressPrefix + id},
		journal.Record{Key: cancelPrefix + id},
		journal.Record{Key: jobPrefix + id},
	)
}

// Superseded reports whether a record need not be applied if a newer one of its key follows at once: it
// holds the progress of a job that has not ended. The record that ended a job counts, as a cancellation
// after it has no effect.
func Superseded(r journal.Record) bool {
	return strings.HasPrefix(r.Key, progressPrefix) && !bytes.HasPrefix(r.Value, []byte(finalProgressPrefix))
}

// splitKey splits a record's key into its prefix and the id or name after it.
func splitKey(key string) (prefix, id string) {
	i := strings.IndexByte(key, '/')
	if i < 0 {
		return key, ""
	}
	return key[:i+1], key[i+1:]
}
