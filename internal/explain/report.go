package explain

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Report holds the log lines that mention one job or request, ordered by time, and what
// they say about the causes of failures, delays and reruns.
type Report struct {
	ID    string
	Lines []Line
	// Around holds lines about dependencies, planners and workers from the same period.
	Around []Line
	Causes []string
}

// lookback is how long before the first line that mentions a job the period of
// Report.Around begins.
const lookback = 5 * time.Second

// contextMessages are the messages of events that may have affected a job at the same time.
var contextMessages = []string{
	"Lost the store for writing.", "The store takes writes again.", "Lost the journal.", "Reading the journal again.",
	"Stepping up as the planner.", "Stopped planning.", "Resigned as the planner.", "Lost an agent.", "An agent is back.",
	"The worker doesn't answer.", "The worker answers again.", "The worker's lifetime is over.", "The worker is draining.",
	"The worker has announced a new lifetime.", "A worker has another lifetime.", "Put off a heartbeat for a lifetime that the worker doesn't confirm.",
	"A worker fails the jobs of others; it gets none for a while.", "A configuration is in force.",
	"Starting an entry.", "Stopped an entry.", "Starting an agent.", "Stopped an agent.",
}

// NewReport collects the lines about a job or request. It compares the times of different
// machines without correction; their clocks may differ by a few milliseconds.
func NewReport(lines []Line, id string) Report {
	r := Report{ID: id}
	for _, l := range lines {
		if l.Mentions(id) {
			r.Lines = append(r.Lines, l)
		}
	}
	if len(r.Lines) == 0 {
		return r
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(r.Lines, byTime)
	first, last := r.Lines[0].Time.Add(-lookback), r.Lines[len(r.Lines)-1].Time
	for _, l := range lines {
		if !l.Time.Before(first) && !l.Time.After(last) && slices.Contains(contextMessages, l.Message) {
			r.Around = append(r.Around, l)
		}
	}
	slices.SortStableFunc(r.Around, byTime)
	r.Causes = r.causes()
	return r
}

// withMessage returns the lines with the given message.
func (r Report) withMessage(message string) []Line {
	var out []Line
	for _, l := range r.Lines {
		if l.Message == message {
			out = append(out, l)
		}
	}
	return out
}

// causes describes why the job failed, waited or ran again, as far as the lines show it.
func (r Report) causes() []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for _, l := range r.withMessage("Answered a call.") {
		if status := l.Text("status"); status != "200" {
			add("%s was answered %s at %s: %s", l.Text("method"), status, l.Process, l.Text("why"))
		}
	}
	for _, l := range r.withMessage("A run gives way.") {
		if l.Text("job") == r.ID {
			add("gave way to job %s", l.Text("for"))
		}
	}
	ends := map[string]int{}
	for _, l := range r.withMessage("A run is over.") {
		if why := l.Text("why"); why != "listed" {
			ends[why]++
		} else if n := l.Text("end"); n != "1" {
			ends["it ended as "+endName(n)]++
		}
	}
	for _, why := range sortedKeys(ends) {
		add("%d of its runs were over without being done: %s", ends[why], why)
	}
	for _, l := range r.withMessage("A job has failed: a task has no attempts left.") {
		add("task %s failed %s times, the maximum that its queue allows", l.Text("task"), l.Text("failures"))
	}
	out = append(out, r.startDelays()...)
	out = append(out, r.storeDelays()...)
	return slices.Compact(out)
}

// slowStoreThreshold is the minimum time between the end of a job and the storing of its
// final state that is reported. Without disturbances it takes 20 ms.
const slowStoreThreshold = 300 * time.Millisecond

// storeDelays describes slow writes of the job's final state.
func (r Report) storeDelays() []string {
	var out []string
	for _, l := range r.withMessage("A job's final state is stored.") {
		ms, err := strconv.ParseFloat(l.Text("took"), 64)
		took := time.Duration(ms * float64(time.Millisecond))
		if err == nil && took >= slowStoreThreshold {
			out = append(out, fmt.Sprintf("its end was known %v before it could be stored; callers see it from then on", took.Round(time.Millisecond)))
		}
	}
	return out
}

// slowStartThreshold is the minimum time between the acceptance of a job and its first
// claim that is reported. Without disturbances it takes 40 ms.
const slowStartThreshold = 300 * time.Millisecond

// startDelays describes a slow or missing first start of the job.
func (r Report) startDelays() []string {
	accepted, claimed := r.withMessage("Accepted a job."), r.withMessage("Claimed a run.")
	if len(accepted) == 0 {
		return nil
	}
	if len(claimed) == 0 {
		return []string{"accepted, but not claimed for a worker in these log lines"}
	}
	wait := claimed[0].Time.Sub(accepted[0].Time)
	if wait < slowStartThreshold {
		return nil
	}
	return []string{"its first start came " + wait.String() + " after it was accepted"}
}

// endNames are the ways in which a run may end, indexed by the number in the log.
var endNames = []string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

func endName(n string) string {
	i, err := strconv.Atoi(n)
	if err != nil || i < 0 || i >= len(endNames) {
		return n
	}
	return endNames[i]
}

func sortedKeys(m map[string]int) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// minPause is the minimum time between two lines that is printed as a pause.
const minPause = time.Second

// String formats the report as text. Lines that do not mention the job or request are
// marked with "|".
func (r Report) String() string {
	if len(r.Lines) == 0 {
		return fmt.Sprintf("No log line mentions %s.\n", r.ID)
	}
	var b strings.Builder
	all := append(slices.Clone(r.Lines), r.Around...)
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	before := all[0].Time
	for _, l := range all {
		if pause := l.Time.Sub(before); pause >= minPause {
			fmt.Fprintf(&b, "             ... %v\n", pause.Round(time.Millisecond))
		}
		before = l.Time
		mark := " "
		if !l.Mentions(r.ID) {
			mark = "|"
		}
		fmt.Fprintf(&b, "%s %s %-16s %s%s\n", l.Time.UTC().Format("15:04:05.000"), mark, l.Process, l.Message, l.details())
	}
	b.WriteString("\n")
	if len(r.Causes) == 0 {
		b.WriteString("These log lines show no failure, delay or rerun.\n")
	}
	for _, c := range r.Causes {
		fmt.Fprintf(&b, "Cause: %s.\n", c)
	}
	return b.String()
}

// details formats the fields, ordered by name.
func (l Line) details() string {
	names := make([]string, 0, len(l.Fields))
	for n := range l.Fields {
		names = append(names, n)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, n := range names {
		b.WriteString(" " + n + "=" + l.Text(n))
	}
	return b.String()
}
