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

// Kind is the type of a record.
type Kind string

// Kinds of records. Readers skip kinds that they don't know.
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

// MaxLag is the maximum number of records between a record's AsOf and its own
// offset. Readers ignore a job or claim with a larger lag, so ended jobs and
// voided record ids need not be kept for longer than that.
const MaxLag = 1 << 14

// Record is one entry of a stream, encoded as JSON.
type Record struct {
	// Offset and Appended are the position and time that the log assigned.
	Offset   uint64    `json:"-"`
	Appended time.Time `json:"-"`
	// ID identifies the record. A retried append uses the same id.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// AsOf is the offset after the last record that the writer had read when it
	// made this one.
	AsOf   uint64        `json:"as-of"`
	Config *ConfigRecord `json:"config,omitempty"`
	Job    *JobRecord    `json:"job,omitempty"`
	Claim  *Claim        `json:"claim,omitempty"`
	// HeldClaims are the claims in a claim snapshot.
	HeldClaims HeldClaimList `json:"held,omitempty"`
	// Voids are the ids of records that have no effect when they are appended
	// after this one.
	Voids []string `json:"voids,omitempty"`
}

// ConfigRecord is a change, a snapshot or a restore of the configuration, or the
// confirmation of a restore.
type ConfigRecord struct {
	// Base is the version that a change is based on. An accepted change creates
	// version Base+1.
	Base   uint64 `json:"base,omitempty"`
	Author string `json:"author"`
	// Config has its version set only in a snapshot or a restore.
	Config shop.Config `json:"config"`
	// Proposal is the id of the restore record that a confirmation refers to.
	Proposal string `json:"proposal,omitempty"`
}

// JobRecord is an event in the life cycle of a job.
type JobRecord struct {
	ID string `json:"id"`
	// Job is the accepted job.
	Job *shop.Job `json:"job,omitempty"`
	// Attempt is the highest attempt number claimed so far; in a record of kind
	// KindJobAttempt, the number that it claims.
	Attempt int `json:"attempt,omitempty"`
	// AttemptOffset is, in a snapshot, the offset of the claim of Attempt.
	AttemptOffset uint64 `json:"attempt-offset,omitempty"`
	// Cancelled says, in a snapshot, that cancellation was requested and the job
	// has not ended.
	Cancelled bool `json:"cancelled,omitempty"`
	// Planner is the name of the planner that claims the attempt.
	Planner string `json:"planner,omitempty"`
	// State is the final state of an ended job.
	State shop.JobState `json:"state,omitempty"`
	// Reason explains the final state.
	Reason string `json:"reason,omitempty"`
	// Answer is the answer of a job that is done, unless it is too large for the
	// log.
	Answer []byte `json:"answer,omitempty"`
	// AnswerAt is the agent that stores an answer too large for the log.
	AnswerAt string `json:"answer-at,omitempty"`
	// Workers are the workers that the highest attempt was assigned to or ran on,
	// and Started is when it started there.
	Workers []string  `json:"workers,omitempty"`
	Started time.Time `json:"started,omitzero"`
}

// Encode returns the record as JSON.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("platform.Record: %w", err)
	}
	return data, nil
}

// DecodeRecord decodes a record and checks that it has the fields that its kind
// requires. It fails with shop.ErrInvalid when it lacks one.
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

// complete reports whether the record has the fields that its kind requires.
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

// stale reports whether more than MaxLag records lie between what the writer had
// read and the record. It is also true when AsOf lies after the record.
func (r Record) stale() bool {
	return r.AsOf > r.Offset || r.Offset-r.AsOf > MaxLag
}
