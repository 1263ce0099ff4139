package clusterstate

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

// gangIndex is the index in the key of a gang.
const gangIndex = -1

// UnitKey identifies a unit of a job, which starts as a whole: a task, or all tasks of a gang
// step.
type UnitKey struct {
	Occurrence, Step int
	// Index of the task, negative for a gang.
	Index int
}

// GangKey returns the key of a step's gang.
func GangKey(occurrence, step int) UnitKey { return UnitKey{occurrence, step, gangIndex} }

// IsGang reports whether the unit is a gang.
func (k UnitKey) IsGang() bool { return k.Index < 0 }

func (k UnitKey) compare(o UnitKey) int {
	return cmp.Or(
		cmp.Compare(k.Occurrence, o.Occurrence), cmp.Compare(k.Step, o.Step), cmp.Compare(k.Index, o.Index))
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// String formats the id as JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses the format of TaskID.String.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("clusterstate.ParseTaskID: task %q is not JOB.OCCURRENCE.STEP.INDEX", s)
	}
	var n [3]int
	for i := range n {
		var err error
		if n[i], err = strconv.Atoi(parts[i+1]); err != nil {
			return TaskID{}, fmt.Errorf("clusterstate.ParseTaskID: task %q: %w", s, err)
		}
	}
	return TaskID{parts[0], n[0], n[1], n[2]}, nil
}

// Member is one task of a run and where it was placed.
type Member struct {
	Index     int    // Of the task within its step.
	AgentName string // Name of the worker's agent.
	// Lifetime identifies the worker process; a run never outlives it.
	Lifetime string
}

// UnitProgress is the progress of a unit. It is immutable: a change replaces it.
type UnitProgress struct {
	// Run is the number of the newest run; zero before the first.
	Run      int
	Failures int
	// FailedRun is, for a gang, the newest run that Failures counts; zero if there is none, or if an earlier version
	// stored the unit.
	FailedRun  int
	Done       bool
	Checkpoint string
	// Members of the newest run that may still be running.
	Members []Member
	// FailedMembers are those members of the newest run that failed, until the next run is claimed. Earlier versions
	// don't store them.
	FailedMembers []Member
}

// WithFailedRun returns the progress of a gang of a given size with its FailedRun set. Earlier versions don't store it.
// If members of the newest run have ended then, that run may be one that Failures counts, and is taken as such: a
// failure that counts twice can end the job, one that doesn't count allows it one more run.
func (u UnitProgress) WithFailedRun(size int) UnitProgress {
	if u.Failures > 0 && u.FailedRun == 0 {
		u.FailedRun = u.Run
		if len(u.Members) == size {
			u.FailedRun = max(0, u.Run-1)
		}
	}
	return u
}

// Progress is what the planner has decided and learned about a job.
type Progress struct {
	// State is the job's final state, empty until then.
	State shop.JobState
	// Split reports whether the units are stored in several records.
	Split bool
	Units map[UnitKey]UnitProgress
}

// Clone returns a copy with its own map of units.
func (p Progress) Clone() Progress {
	p.Units = maps.Clone(p.Units)
	if p.Units == nil {
		p.Units = make(map[UnitKey]UnitProgress)
	}
	return p
}

// errOther is returned for a record that can't be one of the system's own.
var errOther = errors.New("not a record of this system")

// checkJob returns an error if the planner can't work with a job. It allows more than the validation
// of new jobs, whose limits may be stricter than when the job was accepted.
func checkJob(id string, j *workflow.Job) error {
	if j.ID != id || len(j.Steps) == 0 || j.Repeat.Times < 0 || j.Repeat.Times > workflow.MaxOccurrences {
		return fmt.Errorf("%w: job %q with %d steps, %d times", errOther, j.ID, len(j.Steps), j.Repeat.Times)
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Count > workflow.MaxTasks || !s.Resources.Valid() || s.Estimate < 0 ||
			slices.ContainsFunc(s.After, func(a int) bool { return a < 0 || a >= i }) {
			return fmt.Errorf("%w: job %q, step %d: %d tasks of %+v after %v", errOther, j.ID, i, s.Count, s.Resources, s.After)
		}
	}
	return nil
}

// maxRuns is more than the runs that any unit can have.
const maxRuns = 1 << 31

// checkUnit returns an error if a unit can't be that of a job: another writer may have left it, and the planner
// indexes the job's steps by its units.
func checkUnit(j *workflow.Job, k UnitKey, run, failures, failedRun int) error {
	if k.Occurrence < 0 || k.Occurrence >= j.Occurrences() || k.Step < 0 || k.Step >= len(j.Steps) {
		return fmt.Errorf("%w: unit %v of a job with %d steps", errOther, k, len(j.Steps))
	}
	step := &j.Steps[k.Step]
	if step.Gang != k.IsGang() || k.Index < gangIndex || k.Index >= step.Count ||
		run < 0 || run > maxRuns || failures < 0 || failures > maxRuns || failedRun < 0 || failedRun > run {
		return fmt.Errorf("%w: unit %v with run %d and %d failures up to run %d of a step with %d tasks",
			errOther, k, run, failures, failedRun, step.Count)
	}
	return nil
}

// checkMember returns an error if a unit that passes checkUnit can't have a task, or if no agent is named for it.
func checkMember(j *workflow.Job, k UnitKey, index int, named bool) error {
	if index < 0 || index >= j.Steps[k.Step].Count || !k.IsGang() && index != k.Index {
		return fmt.Errorf("%w: unit %v has task %d", errOther, k, index)
	}
	if !named {
		return fmt.Errorf("%w: unit %v has task %d on no agent", errOther, k, index)
	}
	return nil
}

// check returns an error if the unit with a key can't be that of the job.
func (u UnitProgress) check(j *workflow.Job, k UnitKey) error {
	if err := checkUnit(j, k, u.Run, u.Failures, u.FailedRun); err != nil {
		return err
	}
	for _, m := range slices.Concat(u.Members, u.FailedMembers) {
		if err := checkMember(j, k, m.Index, m.AgentName != ""); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error if the unit can't be one in a block of the job.
func (u *scannedUnit) check(head *scannedProgress, j *workflow.Job, n int) error {
	if err := checkUnit(j, u.key, u.run, u.failures, u.failedRun); err != nil {
		return err
	}
	for _, members := range [][][2]int{u.members, u.failedMembers} {
		for _, m := range members {
			if err := checkMember(j, u.key, m[0], len(head.places[m[1]][0]) > 0); err != nil {
				return err
			}
		}
	}
	return checkBlock(j, u.key, n, head.split)
}

// progressRecord is the encoded form of Progress. Each pair of agent name and lifetime is listed once,
// since a large job refers to the same ones many times.
type progressRecord struct {
	State  shop.JobState `json:"state,omitempty"`
	Split  bool          `json:"split,omitempty"`
	Places [][2]string   `json:"places,omitempty"`
	Units  []unitRecord  `json:"units,omitempty"`
}

// finalProgressPrefix is what the encoded progress of a job that has ended begins with.
const finalProgressPrefix = `{"state":`

type unitRecord struct {
	Key           [3]int   `json:"k"`
	Run           int      `json:"r"`
	Failures      int      `json:"f,omitempty"`
	FailedRun     int      `json:"x,omitempty"`
	Done          bool     `json:"d,omitempty"`
	Checkpoint    string   `json:"c,omitempty"`
	Members       [][2]int `json:"m,omitempty"` // Task index and index into Places.
	FailedMembers [][2]int `json:"w,omitempty"` // The same.
}

// MarshalJSON encodes the progress in a compact form.
func (p Progress) MarshalJSON() ([]byte, error) {
	out := progressRecord{State: p.State, Split: p.Split}
	places := make(map[[2]string]int)
	encode := func(members []Member) (list [][2]int) {
		for _, m := range members {
			place := [2]string{m.AgentName, m.Lifetime}
			i, ok := places[place]
			if !ok {
				i = len(out.Places)
				places[place] = i
				out.Places = append(out.Places, place)
			}
			list = append(list, [2]int{m.Index, i})
		}
		return list
	}
	keys := slices.SortedFunc(maps.Keys(p.Units), UnitKey.compare)
	for _, k := range keys {
		u := p.Units[k]
		out.Units = append(out.Units, unitRecord{
			Key: [3]int{k.Occurrence, k.Step, k.Index}, Run: u.Run,
			Failures: u.Failures, FailedRun: u.FailedRun, Done: u.Done, Checkpoint: u.Checkpoint,
			Members: encode(u.Members), FailedMembers: encode(u.FailedMembers),
		})
	}
	return json.Marshal(out)
}

// UnmarshalJSON decodes the form that MarshalJSON writes.
func (p *Progress) UnmarshalJSON(data []byte) error {
	var in progressRecord
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	*p = Progress{State: in.State, Split: in.Split, Units: make(map[UnitKey]UnitProgress, len(in.Units))}
	for _, r := range in.Units {
		u := UnitProgress{Run: r.Run, Failures: r.Failures, FailedRun: r.FailedRun, Done: r.Done, Checkpoint: r.Checkpoint}
		for _, m := range slices.Concat(r.Members, r.FailedMembers) {
			if m[1] < 0 || m[1] >= len(in.Places) {
				return fmt.Errorf("clusterstate: place %d of unit %v does not exist", m[1], r.Key)
			}
		}
		u.Members, u.FailedMembers = decodeMembers(r.Members, in.Places), decodeMembers(r.FailedMembers, in.Places)
		p.Units[UnitKey{r.Key[0], r.Key[1], r.Key[2]}] = u
	}
	return nil
}

// decodeMembers returns the members in a list of task indices and indices into places, all of which exist.
func decodeMembers(list [][2]int, places [][2]string) (out []Member) {
	for _, m := range list {
		out = append(out, Member{Index: m[0], AgentName: places[m[1]][0], Lifetime: places[m[1]][1]})
	}
	return out
}
