package clusterstate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

// The progress of a job is one record until a unit beyond the first block has started, or the record would be too
// large for the store. From then on each block of units has a record of its own, so that a change costs as much
// in a large job as in a small one. Block 0 is in the record that also has the job's state, and which says that
// there are others.
const (
	// maxProgressBytes is the size from which progress is split. The store takes 256 KiB a record.
	maxProgressBytes = 200 << 10
	// blockUnits is the number of units in a block. Readers of any version must agree on it.
	blockUnits = 100
)

// block returns the number of the block that a unit belongs to.
func (k UnitKey) block(j *workflow.Job) int {
	n := k.Occurrence*j.Tasks() + max(0, k.Index)
	for i := range j.Steps[:k.Step] {
		n += j.Steps[i].Count
	}
	return n / blockUnits
}

// blockNumbers returns the numbers of the blocks that the units are in, and 0.
func (p Progress) blockNumbers(j *workflow.Job) map[int]bool {
	out := map[int]bool{0: true}
	for k := range p.Units {
		out[k.block(j)] = true
	}
	return out
}

// blocks returns the progress of the blocks with given numbers. Only block 0 has the state.
func (p Progress) blocks(j *workflow.Job, numbers map[int]bool) map[int]Progress {
	out := make(map[int]Progress, len(numbers))
	for n := range numbers {
		out[n] = Progress{Units: make(map[UnitKey]UnitProgress)}
	}
	for k, u := range p.Units {
		if b, ok := out[k.block(j)]; ok {
			b.Units[k] = u
		}
	}
	if first, ok := out[0]; ok {
		first.State, first.Split = p.State, true
		out[0] = first
	}
	return out
}

// ProgressRecords returns the records that store a job's progress in which some units have changed, and whether it
// is split from now on. Block 0 is stored only when it has changed. stored has the numbers of the blocks that the
// journal may have from earlier planners: they count once the progress is split, so they are replaced then. Each
// block can be read without the others, so the records may be stored by several appends, in their order.
func ProgressRecords(j *workflow.Job, p Progress, changed map[UnitKey]bool, stored []int) (records []journal.Record, split bool) {
	all := !p.Split
	written := make(map[int]bool)
	if all {
		written = p.blockNumbers(j)
		if len(written) == 1 {
			if r := ProgressRecord(j.ID, p); len(r.Value) <= maxProgressBytes {
				return []journal.Record{r}, false
			}
		}
		for _, n := range stored {
			written[n] = true
		}
	}
	for k := range changed {
		written[k.block(j)] = true
	}
	if p.State != "" || len(written) == 0 {
		written[0] = true
	}
	blocks := p.blocks(j, written)
	for _, n := range slices.Sorted(maps.Keys(written)) {
		if n > 0 {
			records = append(records, blocks[n].limitedRecord(blockKey(j.ID, n)))
		}
	}
	if written[0] {
		// The record that says that there are others comes last.
		records = append(records, blocks[0].limitedRecord(progressPrefix+j.ID))
	}
	return records, true
}

// limitedRecord returns the record of a block. It leaves out the longest checkpoints if the record would
// be too large: a task without one starts from its beginning.
func (p Progress) limitedRecord(key string) journal.Record {
	r := record(key, p)
	if len(r.Value) <= maxProgressBytes {
		return r
	}
	p = p.Clone()
	keys := slices.SortedFunc(maps.Keys(p.Units), func(a, b UnitKey) int {
		return len(p.Units[b].Checkpoint) - len(p.Units[a].Checkpoint)
	})
	for _, k := range keys {
		u := p.Units[k]
		u.Checkpoint = ""
		p.Units[k] = u
		if r = record(key, p); len(r.Value) <= maxProgressBytes {
			break
		}
	}
	return r
}

// Blocks returns the numbers of the blocks beside the first one in which a job has units.
func (p Progress) Blocks(j *workflow.Job) []int {
	return slices.Sorted(maps.Keys(p.blockNumbers(j)))[1:]
}

func blockKey(id string, n int) string { return progressPrefix + id + "/" + strconv.Itoa(n) }

// parseBlock splits what follows the prefix of a progress record's key into the job and the block.
func parseBlock(s string) (id string, block int, err error) {
	id, number, ok := strings.Cut(s, "/")
	if !ok {
		return id, 0, nil
	}
	block, err = strconv.Atoi(number)
	if err != nil || block < 1 {
		return id, 0, fmt.Errorf("%w: block %q", errOther, number)
	}
	return id, block, nil
}

// storedBlock is a block of a job's progress as the journal has it. It is immutable. Its units are decoded when
// they are asked for, which only a planner does.
type storedBlock struct {
	data  []byte
	state shop.JobState
	split bool
	units int // Number of units.
	// decoded is set if the data doesn't have the usual form, and data isn't then.
	decoded *Progress
}

// newStoredBlock returns a block that another record may follow, or an error about data that can't be decoded.
// Unless the job is nil, it also fails if the block can't be that of the job.
func newStoredBlock(data []byte, j *workflow.Job, n int) (*storedBlock, error) {
	b := &storedBlock{}
	var check error // Of the first unit that can't be the job's.
	head, ok, _ := scanProgress(data, func(head *scannedProgress, u *scannedUnit) error {
		b.units++
		if j != nil && check == nil {
			check = u.check(head, j, n)
		}
		return nil
	})
	if ok {
		b.data, b.state, b.split = bytes.Clone(data), head.state, head.split
		return b, check
	}
	var p Progress
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, err
	}
	b = &storedBlock{decoded: &p, state: p.State, split: p.Split, units: len(p.Units)}
	return b, b.check(j, n)
}

// check returns an error if a block can't be that of the job.
func (b *storedBlock) check(j *workflow.Job, n int) error {
	if j == nil {
		return nil
	}
	if b.decoded == nil {
		_, _, err := scanProgress(b.data, func(head *scannedProgress, u *scannedUnit) error { return u.check(head, j, n) })
		return err
	}
	for k, u := range b.decoded.Units {
		if err := u.check(j, k); err != nil {
			return err
		}
		if err := checkBlock(j, k, n, b.split); err != nil {
			return err
		}
	}
	return nil
}

// checkBlock returns an error if a unit can't be in a block. All units are in the first block unless it is split.
func checkBlock(j *workflow.Job, k UnitKey, n int, split bool) error {
	if (n > 0 || split) && k.block(j) != n {
		return fmt.Errorf("%w: unit %v in block %d", errOther, k, n)
	}
	return nil
}

// addUnits decodes the block's units into a map.
func (b *storedBlock) addUnits(units map[UnitKey]UnitProgress) {
	if b.decoded != nil {
		maps.Copy(units, b.decoded.Units)
		return
	}
	var places [][2]string
	// The data was checked when the block was made.
	_, _, _ = scanProgress(b.data, func(head *scannedProgress, u *scannedUnit) error {
		if places == nil {
			places = make([][2]string, len(head.places))
			for i, place := range head.places {
				places[i] = [2]string{string(place[0]), string(place[1])}
			}
		}
		out := UnitProgress{
			Run: u.run, Failures: u.failures, FailedRun: u.failedRun, Done: u.done, Checkpoint: string(u.checkpoint),
			Members: decodeMembers(u.members, places), FailedMembers: decodeMembers(u.failedMembers, places),
		}
		units[u.key] = out
		return nil
	})
}

// storedProgress is the progress of a job by block, as the journal has it. It is immutable.
type storedProgress map[int]*storedBlock

// with returns a copy in which a block is replaced.
func (s storedProgress) with(n int, b *storedBlock) storedProgress {
	out := maps.Clone(s)
	if out == nil {
		out = make(storedProgress)
	}
	out[n] = b
	return out
}

// counting returns the blocks that count: those beside the first do only once it says so.
func (s storedProgress) counting() []*storedBlock {
	first, ok := s[0]
	switch {
	case !ok:
		return nil
	case !first.split:
		return []*storedBlock{first}
	}
	return slices.Collect(maps.Values(s))
}

// state returns the final state that the first block has, if any.
func (s storedProgress) state() shop.JobState {
	if first, ok := s[0]; ok {
		return first.state
	}
	return ""
}

// started reports whether any task has been assigned to a worker.
func (s storedProgress) started() bool {
	return slices.ContainsFunc(s.counting(), func(b *storedBlock) bool { return b.units > 0 })
}

// merge decodes the job's progress.
func (s storedProgress) merge() Progress {
	first, ok := s[0]
	if !ok {
		return Progress{}
	}
	blocks, units := s.counting(), 0
	for _, b := range blocks {
		units += b.units
	}
	out := Progress{State: first.state, Split: first.split, Units: make(map[UnitKey]UnitProgress, units)}
	for _, b := range blocks {
		b.addUnits(out.Units)
	}
	return out
}

// checked returns the blocks that can be those of the job, and an error about one that can't: another
// writer may have left it.
func (s storedProgress) checked(j *workflow.Job) (storedProgress, error) {
	out, err := s, error(nil)
	for n, b := range s {
		if blockErr := b.check(j, n); blockErr != nil {
			err = blockErr
			out = maps.Clone(out)
			delete(out, n)
		}
	}
	return out, err
}
