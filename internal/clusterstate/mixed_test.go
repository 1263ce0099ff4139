package clusterstate_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

// oldBlock returns the number of a unit's block, as the build before this one had it.
func oldBlock(j *workflow.Job, k clusterstate.UnitKey) int {
	n := k.Occurrence*j.Tasks() + max(0, k.Index)
	for i := range j.Steps[:k.Step] {
		n += j.Steps[i].Count
	}
	return n / 100
}

// oldRecords returns what the build before this one stores: progress is one record up to 200 KiB, and the first
// block is written at each change.
func oldRecords(j *workflow.Job, p clusterstate.Progress, changed map[clusterstate.UnitKey]bool) ([]journal.Record, bool) {
	whole := clusterstate.ProgressRecord(j.ID, p)
	if !p.Split && len(whole.Value) <= 200<<10 {
		return []journal.Record{whole}, false
	}
	all := !p.Split
	blocks := map[int]clusterstate.Progress{0: {State: p.State, Split: true, Units: units{}}}
	written := make(map[int]bool)
	for k, u := range p.Units {
		n := oldBlock(j, k)
		if _, ok := blocks[n]; !ok {
			blocks[n] = clusterstate.Progress{Units: units{}}
		}
		blocks[n].Units[k] = u
		written[n] = written[n] || all || changed[k]
	}
	var out []journal.Record
	for _, n := range slices.Sorted(maps.Keys(blocks)) {
		if n > 0 && written[n] {
			out = append(out, clusterstate.ProgressRecord(j.ID+"/"+strconv.Itoa(n), blocks[n]))
		}
	}
	return append(out, clusterstate.ProgressRecord(j.ID, blocks[0])), true
}

// oldRead returns the progress that the build before this one reads.
func oldRead(t *rapid.T, j *workflow.Job, records []journal.Record) clusterstate.Progress {
	blocks := make(map[int]clusterstate.Progress)
	for _, r := range records {
		var p clusterstate.Progress
		if err := json.Unmarshal(r.Value, &p); err != nil {
			t.Fatal(err)
		}
		n := 0
		if _, number, ok := strings.Cut(strings.TrimPrefix(r.Key, "p/"), "/"); ok {
			n, _ = strconv.Atoi(number)
		}
		for k := range p.Units {
			if (n > 0 || p.Split) && oldBlock(j, k) != n {
				t.Fatalf("the old build refuses record %q, as it has unit %v", r.Key, k)
			}
		}
		blocks[n] = p
	}
	p := blocks[0].Clone()
	if p.Split {
		for _, b := range blocks {
			maps.Copy(p.Units, b.Units)
		}
	}
	return p
}

// units are the units of a job's progress.
type units = map[clusterstate.UnitKey]clusterstate.UnitProgress

// mixedModel is one job planned by builds of both kinds, one after the other.
type mixedModel struct {
	job *workflow.Job
	// journal has the records of the job's progress.
	journal []journal.Record
	// durable is the progress of the last pass that was stored, and open that of the later ones of which at most a
	// part was.
	durable clusterstate.Progress
	open    []clusterstate.Progress
	started map[string]string // Where each run was started.
	claims  int
}

// newestRecords returns the newest record of each key.
func (m *mixedModel) newestRecords() []journal.Record {
	newest := make(map[string]journal.Record)
	for _, r := range m.journal {
		newest[r.Key] = r
	}
	return slices.SortedFunc(maps.Values(newest), func(a, b journal.Record) int { return cmp.Compare(a.Offset, b.Offset) })
}

// read returns the job as a process of this build reads it, and its progress as the build before reads it. A reader
// may get all records, or only the newest of each key and in any order.
func (m *mixedModel) read(t *rapid.T) (*clusterstate.Job, clusterstate.Progress) {
	records := append([]journal.Record{clusterstate.JobRecord(m.job)}, m.journal...)
	if rapid.Bool().Draw(t, "newest only") {
		records = rapid.Permutation(append([]journal.Record{clusterstate.JobRecord(m.job)}, m.newestRecords()...)).Draw(t, "records")
	}
	s := &clusterstate.State{}
	for _, r := range records {
		if err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	j, _ := s.Job(m.job.ID)
	return j, oldRead(t, m.job, m.newestRecords())
}

// byBlock returns the units of each block.
func (m *mixedModel) byBlock(p clusterstate.Progress) map[int]units {
	out := make(map[int]units)
	for k, u := range p.Units {
		n := oldBlock(m.job, k)
		if out[n] == nil {
			out[n] = make(units)
		}
		out[n][k] = u
	}
	return out
}

// check fails unless each block that is read is as in the last pass that was stored, or as in a later one of which
// a part was.
func (m *mixedModel) check(t *rapid.T) {
	j, old := m.read(t)
	got := j.Progress().Clone()
	if !reflect.DeepEqual(old, got) {
		t.Fatalf("progress (-old build +this build):\n%s", gocmp.Diff(old, got))
	}
	versions := append([]clusterstate.Progress{m.durable}, m.open...)
	blocks := make([]map[int]units, len(versions))
	for i, p := range versions {
		blocks[i] = m.byBlock(p)
	}
	gotBlocks := m.byBlock(got)
	for n := range m.job.Occurrences()*m.job.Tasks()/100 + 1 {
		if !slices.ContainsFunc(blocks, func(b map[int]units) bool { return reflect.DeepEqual(b[n], gotBlocks[n]) }) {
			t.Fatalf("block %d is none of %d versions (-stored last +got):\n%s", n, len(versions), gocmp.Diff(blocks[0][n], gotBlocks[n]))
		}
	}
	newest := versions[len(versions)-1]
	if got.State != m.durable.State && (got.State != newest.State || !reflect.DeepEqual(got.Units, newest.Units)) {
		t.Fatalf("state %q without all that was stored before it", got.State)
	}
}

// change claims or ends some units of the progress, and returns them.
func (m *mixedModel) change(t *rapid.T, p clusterstate.Progress) map[clusterstate.UnitKey]bool {
	changed := make(map[clusterstate.UnitKey]bool)
	var all []clusterstate.UnitKey
	for o := range m.job.Occurrences() {
		for s := range m.job.Steps {
			if m.job.Steps[s].Gang {
				all = append(all, clusterstate.GangKey(o, s))
				continue
			}
			for i := range m.job.Steps[s].Count {
				all = append(all, clusterstate.UnitKey{Occurrence: o, Step: s, Index: i})
			}
		}
	}
	for range rapid.IntRange(1, 3).Draw(t, "groups") {
		first := rapid.IntRange(0, len(all)-1).Draw(t, "first")
		for _, k := range all[first:min(len(all), first+rapid.IntRange(1, 40).Draw(t, "units"))] {
			u := p.Units[k]
			switch {
			case changed[k] || u.Done:
				continue
			case len(u.Members) > 0:
				u.Members = nil
				u.Done = rapid.Bool().Draw(t, "done")
			default:
				u.Run++
				m.claims++
				for i := range m.job.Steps[k.Step].Count {
					if k.IsGang() || i == k.Index {
						u.Members = append(u.Members, clusterstate.Member{Index: i, AgentName: fmt.Sprint("claim-", m.claims)})
					}
				}
			}
			p.Units[k], changed[k] = u, true
		}
	}
	return changed
}

// start starts the claimed runs that the last pass has stored, given those that were before it.
func (m *mixedModel) start(t *rapid.T) {
	for k, u := range m.durable.Units {
		if len(u.Members) == 0 {
			continue
		}
		run := fmt.Sprint(k, " ", u.Run)
		if at, ok := m.started[run]; ok && at != u.Members[0].AgentName {
			t.Fatalf("run %s is claimed twice: %s and %s", run, at, u.Members[0].AgentName)
		}
		m.started[run] = u.Members[0].AgentName
	}
}

// plan lets a planner of one build take over and store some passes, until it loses a part of one.
func (m *mixedModel) plan(t *rapid.T) {
	isOld := rapid.Bool().Draw(t, "old build")
	j, p := m.read(t)
	if !isOld {
		p = j.Progress()
	}
	p = p.Clone()
	m.durable, m.open = p.Clone(), nil
	pending := make(map[clusterstate.UnitKey]bool) // Changes that the store has rejected.
	for range rapid.IntRange(1, 6).Draw(t, "passes") {
		changed := m.change(t, p)
		maps.Copy(changed, pending)
		if rapid.IntRange(0, 9).Draw(t, "final") == 0 {
			p.State = shop.Failed
		}
		var records []journal.Record
		if isOld {
			records, p.Split = oldRecords(m.job, p, changed)
		} else {
			records, p.Split = clusterstate.ProgressRecords(m.job, p, changed, j.Blocks())
		}
		m.open = append(m.open, p.Clone())
		stored := len(records)
		if rapid.IntRange(0, 2).Draw(t, "loses some") == 0 {
			stored = rapid.IntRange(0, len(records)).Draw(t, "stored")
		}
		m.append(t, records[:stored])
		if stored < len(records) {
			if rapid.Bool().Draw(t, "gone") {
				return
			}
			// The store has rejected the others.
			if isOld {
				for k := range p.Units {
					pending[k] = true
				}
			}
			p.Split = p.Split && isOld
			continue
		}
		clear(pending)
		m.durable, m.open = p.Clone(), nil
		m.start(t)
	}
}

func (m *mixedModel) append(t *rapid.T, records []journal.Record) {
	for _, r := range records {
		r.Offset = int64(len(m.journal)) + 1
		m.journal = append(m.journal, r)
	}
	m.check(t)
}

// Planners of this build and of the one before follow each other, and lose later appends of a pass. What is read is
// what was stored, and no run is claimed twice.
func TestMixedPlannersClaimNoRunTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 150)
		m := &mixedModel{started: make(map[string]string), job: &workflow.Job{
			ID: "a", Team: "t", Queue: workflow.Queue{Name: "q"}, Submitted: time.Unix(1, 0).UTC(), Repeat: workflow.Repeat{Times: 2},
			Steps: []workflow.Step{{Count: count.Draw(rt, "first")}, {Count: count.Draw(rt, "gang"), Gang: true}, {Count: count.Draw(rt, "last")}},
		}}
		for range rapid.IntRange(1, 8).Draw(rt, "planners") {
			m.plan(rt)
		}
		m.check(rt)
	})
}
