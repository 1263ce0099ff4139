package platform

import (
	"encoding/json"
	"fmt"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Streams of the log.
const (
	ConfigStream = "config"
	JobStream    = "jobs"
	ClaimStream  = "claims"
)

// Kind says what a record is about.
type Kind string

// Kinds of records. A reader passes over kinds that it doesn't know.
const (
	KindConfigChange   Kind = "config-change"
	KindConfigSnapshot Kind = "config-snapshot"
	KindConfigRestore  Kind = "config-restore"
	KindConfigConfirm  Kind = "config-confirm"
	KindJobAccepted    Kind = "job-accepted"
	KindJobAttempt     Kind = "job-attempt"
	KindJobCancelled   Kind = "job-cancelled"
	KindJobEnded       Kind = "job-ended"
	KindClaim          Kind = "claim"
	KindClaimSnapshot  Kind = "claim-snapshot"
	KindVoid           Kind = "void"
)

// MaxLag is how many records may lie between what a writer had read and where
// its record landed. Every reader ignores a job or claim that lags more, so
// nobody needs to remember ended jobs and voided records for longer.
const MaxLag = 1 << 14

// Record is one entry of a stream, as JSON.
type Record struct {
	// Offset and Appended are where and when the log took the record.
	Offset   uint64    `json:"-"`
	Appended time.Time `json:"-"`
	// ID is unique to the record; a retried append repeats it.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// AsOf is the offset after the last record that the writer had read.
	AsOf   uint64        `json:"as-of"`
	Config *ConfigRecord `json:"config,omitempty"`
	Job    *JobRecord    `json:"job,omitempty"`
	Claim  *Claim        `json:"claim,omitempty"`
	// HeldClaims are the claims of a snapshot.
	HeldClaims HeldClaimList `json:"held,omitempty"`
	// Voids are the ids of records that must have no effect when they land
	// after this one.
	Voids []string `json:"voids,omitempty"`
}

// ConfigRecord is a change of the configuration, or a snapshot of it.
type ConfigRecord struct {
	// Base is the version that a change was based on. It makes version Base+1.
	Base   uint64 `json:"base,omitempty"`
	Author string `json:"author"`
	// Config carries its own version in a snapshot or restore only.
	Config shop.Config `json:"config"`
	// Proposal is the record of the restore that is confirmed.
	Proposal string `json:"proposal,omitempty"`
}

// JobRecord is something that happened to a job.
type JobRecord struct {
	ID string `json:"id"`
	// Job is the accepted job itself.
	Job *shop.Job `json:"job,omitempty"`
	// Attempt is the highest attempt that was started.
	Attempt int `json:"attempt,omitempty"`
	// Cancelled says in a snapshot that the job was cancelled and hasn't ended.
	Cancelled bool `json:"cancelled,omitempty"`
	// Planner that claims an attempt.
	Planner string `json:"planner,omitempty"`
	// State is the final state of an ended job.
	State shop.JobState `json:"state,omitempty"`
	// Reason says why the job ended so.
	Reason string `json:"reason,omitempty"`
	// Answer of a job that is done, unless it is too large for the log.
	Answer []byte `json:"answer,omitempty"`
	// AnswerAt is the agent that keeps an answer too large for the log.
	AnswerAt string `json:"answer-at,omitempty"`
	// Workers that the highest attempt was to run on, or ran on, and Started when
	// it began there.
	Workers []string  `json:"workers,omitempty"`
	Started time.Time `json:"started,omitzero"`
}

// Encode writes the record as JSON.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("platform.Record: %w", err)
	}
	return data, nil
}

// DecodeRecord reads a record and checks that it carries what its kind needs.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("platform.DecodeRecord: %w", err)
	}
	if r.ID == "" || !r.complete() {
		return Record{}, fmt.Errorf("platform.DecodeRecord: %q record is not complete: %w", r.Kind, shop.ErrInvalid)
	}
	return r, nil
}

func (r Record) complete() bool {
	switch r.Kind {
	case KindConfigChange:
		return r.Config != nil
	case KindConfigConfirm:
		return r.Config != nil && r.Config.Proposal != ""
	case KindConfigSnapshot, KindConfigRestore:
		return r.Config != nil && r.Config.Config.Version > 0
	case KindJobAccepted:
		return r.Job != nil && r.Job.ID != "" && r.Job.Job != nil && r.Job.Job.ID == r.Job.ID
	case KindJobAttempt, KindJobCancelled, KindJobEnded:
		return r.Job != nil && r.Job.ID != ""
	case KindClaim:
		return r.Claim != nil && r.Claim.Key != "" && r.Claim.Request != ""
	case KindClaimSnapshot:
		return r.HeldClaims.complete()
	case KindVoid:
		return len(r.Voids) > 0
	default:
		return true
	}
}

// stale says whether the record landed too far behind what its writer had read.
func (r Record) stale() bool {
	return r.AsOf > r.Offset || r.Offset-r.AsOf > MaxLag
}
