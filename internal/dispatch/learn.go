package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/internal/pace"
)

const (
	// learnInterval is the least time between two estimates of the workers' paces.
	learnInterval = 200 * time.Millisecond
	// minProgress is the progress, in percent, from which on it tells the run time, if the run's start is known.
	minProgress = 4
	// minProgressBetween is the same between two reports, each of which is in whole percents.
	minProgressBetween = 10
	// minProgressTime is the least time that it must have taken, as a start's answer may be late by some of it.
	minProgressTime = 250 * time.Millisecond
	// storeInterval is the least time between two stores of the workers' paces. A loss of power costs at most what
	// was learned since.
	storeInterval = 5 * time.Second
	// storedChange is the change of the logarithm of a pace that is worth storing: half of a class.
	storedChange = 0.1
	// toldChange is the change of it from which on plans go by the new one, so that a machine on the border of two
	// classes doesn't change between them all the time.
	toldChange = 0.1
)

// learner learns the paces of the workers from the progress and the ends of their runs.
type learner struct {
	paces    pace.Paces
	readings []pace.Reading // Since the newest estimate.
	fittedAt clock.Instant
	told     map[string]float64 // The machines' paces that plans go by.
	shown    map[string]bool    // Names of the metrics of the workers' paces.
	stored   map[string]pace.Known
	storedAt clock.Instant
	// comparedAt is the time of the estimate that was last compared with what is stored.
	comparedAt clock.Instant
}

// machineName returns what tells the worker's machine from others in all its lifetimes.
func (w *worker) machineName() string { return cmp.Or(w.machine, w.name) }

// noteProgress notes the percentage of a run that its worker listed at a time.
func (ap *activePlanner) noteProgress(m *member, percent int, at clock.Instant) {
	if !m.list(percent, at, m.worker.coldUntil) || m.step().Endless {
		return
	}
	from, gained, least := m.firstListed.at, float64(percent-m.firstListed.percent), minProgressBetween
	if m.started {
		from, gained, least = ap.unitStart(m), float64(percent)+0.5, minProgress // The percentage is rounded down.
	}
	if took := at.Sub(from); from > 0 && gained >= float64(least) && took >= minProgressTime {
		ap.addReading(m, time.Duration(float64(took)*100/gained), at)
	}
}

// noteEnd notes that a run has ended.
func (ap *activePlanner) noteEnd(m *member, end host.End) {
	if !m.started || end != host.Done || m.key.IsGang() || m.step().Endless {
		return // The members of a gang end together.
	}
	now := clock.Now()
	ap.addReading(m, now.Sub(m.fromAt), now)
}

// unitStart returns when the tasks of a member's unit began: those of a gang once all of them are present. It
// returns zero if it isn't known.
func (ap *activePlanner) unitStart(m *member) clock.Instant {
	start := m.fromAt
	if !m.key.IsGang() {
		return start
	}
	for _, other := range m.job.progress.Units[m.key].Members {
		live := ap.member(m.job, m.key, other.Index)
		if live == nil || !live.started {
			return 0
		}
		start = max(start, live.fromAt)
	}
	return start
}

// addReading adds a reading of a run's time.
func (ap *activePlanner) addReading(m *member, took time.Duration, at clock.Instant) {
	if m.cold {
		return
	}
	step := m.step()
	if step.DataRack != "" && m.worker.hardware.Rack != step.DataRack {
		took = time.Duration(float64(took) / max(1, ap.RemoteFactor))
	}
	ap.learner.readings = append(ap.learner.readings, pace.Reading{
		Group: groupName(m), Run: m.task + "/" + strconv.Itoa(m.run), Machine: m.worker.machineName(), RunTime: took, At: at,
	})
}

// groupName names the step of a member, whose tasks have about the same work.
func groupName(m *member) string {
	return m.job.spec.ID + "." + strconv.Itoa(m.key.Occurrence) + "." + strconv.Itoa(m.key.Step)
}

// learn updates the paces of the workers by the newest readings.
func (ap *activePlanner) learn(now clock.Instant) {
	l := &ap.learner
	if len(l.readings) == 0 || now.Sub(l.fittedAt) < learnInterval {
		return
	}
	timed(paceDuration, func() { l.paces = l.paces.With(now, l.readings...) })
	l.readings, l.fittedAt = nil, now
	ap.tell()
}

// slowestPace returns the pace of the slowest of the workers that a run was placed on.
func (ap *activePlanner) slowestPace(idx *viewIndex, workers []int) float64 {
	slowest := 0.0
	for _, i := range workers {
		slowest = max(slowest, cmp.Or(ap.learner.told[idx.workers[i].machineName()], 1))
	}
	return math.Round(100*slowest) / 100
}

// tell updates the paces that plans go by, logs which workers have got into another class, and counts the workers by
// their classes.
func (ap *activePlanner) tell() {
	l := &ap.learner
	var fast, median, slow, unknown float64
	for _, w := range ap.sortedWorkers() {
		machine := w.machineName()
		before, now := l.told[machine], l.paces.Of(machine)
		switch {
		case before > 0 && now > 0 && math.Abs(math.Log(now/before)) < toldChange:
			now = before
		case pace.Class(now) != pace.Class(before):
			ap.Log.Info().Str("node", w.name).Str("machine", machine).Float64("pace", math.Round(100*now)/100).
				Int("class", pace.Class(now)).Msg("A worker's pace has changed.")
		}
		l.told[machine] = now
		l.show(w.name, now)
		switch class := pace.Class(now); {
		case now == 0:
			unknown++
		case class < 0:
			fast++
		case class == 0:
			median++
		default:
			slow++
		}
	}
	fastWorkers.Set(fast)
	medianWorkers.Set(median)
	slowWorkers.Set(slow)
	newWorkers.Set(unknown)
}

// show sets the metric of a worker's pace; zero if that isn't known.
func (l *learner) show(worker string, at float64) {
	name := paceMetric(worker)
	if at == 0 {
		metrics.UnregisterMetric(name)
		delete(l.shown, name)
		return
	}
	metrics.GetOrCreateGauge(name, nil).Set(at)
	l.shown[name] = true
}

// forget removes the metrics of the workers' paces, as another process plans.
func (l *learner) forget() {
	for name := range l.shown {
		metrics.UnregisterMetric(name)
	}
}

// load takes over what earlier planners have learned.
func (l *learner) load(now clock.Instant, stored map[string]pace.Known) {
	l.stored = stored
	l.paces = l.paces.WithStored(now, stored)
	for machine := range stored {
		l.told[machine] = l.paces.Of(machine)
	}
}

// paceRecords returns the records of the paces that have changed noticeably since they were stored. Nothing is
// stored as long as all workers are alike.
func (ap *activePlanner) paceRecords(now clock.Instant) []journal.Record {
	l := &ap.learner
	if now.Sub(l.storedAt) < storeInterval || l.fittedAt <= l.comparedAt {
		return nil
	}
	l.comparedAt = l.fittedAt
	known := l.paces.Known()
	uneven := false
	changed := make(map[int]bool)
	for machine, k := range known {
		uneven = uneven || pace.Class(l.paces.Of(machine)) != 0
		old := l.stored[machine]
		if math.Abs(k.LogPace-old.LogPace) >= storedChange || k.Readings >= 2*old.Readings {
			changed[clusterstate.PaceBlock(machine)] = true
		}
	}
	if !uneven || len(changed) == 0 {
		return nil
	}
	l.storedAt, l.stored = now, maps.Clone(l.stored)
	blocks := make(map[int]map[string]pace.Known)
	for _, machine := range ap.machinesByUse(known) {
		block := clusterstate.PaceBlock(machine)
		if !changed[block] || len(blocks[block]) >= clusterstate.MaxPaces {
			continue
		}
		if blocks[block] == nil {
			blocks[block] = make(map[string]pace.Known)
		}
		blocks[block][machine], l.stored[machine] = known[machine], known[machine]
	}
	var out []journal.Record
	for _, block := range slices.Sorted(maps.Keys(blocks)) {
		out = append(out, clusterstate.PaceRecord(block, blocks[block]))
	}
	return out
}

// noteRejected makes the paces whose records the store has rejected count as not stored, so that they are stored
// again.
func (l *learner) noteRejected(rejected map[string]bool) {
	maps.DeleteFunc(l.stored, func(machine string, _ pace.Known) bool {
		if !rejected[clusterstate.PaceKey(clusterstate.PaceBlock(machine))] {
			return false
		}
		l.comparedAt = 0
		return true
	})
}

// machinesByUse returns the names of the known machines, those of current workers first.
func (ap *activePlanner) machinesByUse(known map[string]pace.Known) []string {
	used := make(map[string]bool)
	for _, w := range ap.workers {
		used[w.machineName()] = true
	}
	return slices.SortedFunc(maps.Keys(known), func(a, b string) int {
		if used[a] != used[b] {
			if used[a] {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
}
