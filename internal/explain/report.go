package explain

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Report is the lines about one job or request, in order, with what happened around it.
type Report struct {
	ID    string
	Lines []Line
	// Around are lines on dependencies, planners and workers within the job's time.
	Around []Line
	Causes []string
}

// lookback is how long before the first line about a job others may still explain it.
const lookback = 5 * time.Second

// contextMessages are the messages that may explain what happened to a job at the same time.
var contextMessages = []string{
	"Lost the store for writing.", "The store takes writes again.", "Lost the journal.", "Reading the journal again.",
	"Stepping up as the planner.", "Stopped planning.", "Resigned as the planner.", "Lost an agent.", "An agent is back.",
	"The worker doesn't answer.", "The worker answers again.", "The worker's lifetime is over.", "The worker is draining.",
	"A worker fails the jobs of others; it gets none for a while.", "A configuration is in force.",
	"Starting an entry.", "Stopped an entry.", "Starting an agent.", "Stopped an agent.",
}

// NewReport finds the lines about a job or request. Times of several machines are compared
// as they are; their clocks may differ by some milliseconds.
func NewReport(lines []Line, id string) Report {
	s := Report{ID: id}
	for _, l := range lines {
		if l.Mentions(id) {
			s.Lines = append(s.Lines, l)
		}
	}
	if len(s.Lines) == 0 {
		return s
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Lines, byTime)
	first, last := s.Lines[0].Time.Add(-lookback), s.Lines[len(s.Lines)-1].Time
	for _, l := range lines {
		if !l.Time.Before(first) && !l.Time.After(last) && slices.Contains(contextMessages, l.Message) {
			s.Around = append(s.Around, l)
		}
	}
	slices.SortStableFunc(s.Around, byTime)
	s.Causes = s.causes()
	return s
}

// withMessage returns the lines with a message.
func (s Report) withMessage(message string) []Line {
	var out []Line
	for _, l := range s.Lines {
		if l.Message == message {
			out = append(out, l)
		}
	}
	return out
}

// causes says what made the job fail, wait or run again, as far as the lines tell.
func (s Report) causes() []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for _, l := range s.withMessage("Answered a call.") {
		if status := l.Text("status"); status != "200" {
			add("%s was answered %s at %s: %s", l.Text("method"), status, l.Process, l.Text("why"))
		}
	}
	for _, l := range s.withMessage("A run gives way.") {
		if l.Text("job") == s.ID {
			add("gave way to job %s", l.Text("for"))
		}
	}
	ends := map[string]int{}
	for _, l := range s.withMessage("A run is over.") {
		if why := l.Text("why"); why != "listed" {
			ends[why]++
		} else if n := l.Text("end"); n != "1" {
			ends["it ended as "+endName(n)]++
		}
	}
	for _, why := range sortedKeys(ends) {
		add("%d of its runs were over without being done: %s", ends[why], why)
	}
	for _, l := range s.withMessage("A job has failed: a task has no attempts left.") {
		add("task %s failed %s times, which is all that its queue allows", l.Text("task"), l.Text("failures"))
	}
	out = append(out, s.startDelays()...)
	out = append(out, s.storeDelays()...)
	return slices.Compact(out)
}

// slowStoreThreshold is the time from a job's end until that is stored that is worth a word; a calm
// one takes 20 ms.
const slowStoreThreshold = 300 * time.Millisecond

// storeDelays says how long the job's end could not be stored.
func (s Report) storeDelays() []string {
	var out []string
	for _, l := range s.withMessage("A job's final state is stored.") {
		ms, err := strconv.ParseFloat(l.Text("took"), 64)
		took := time.Duration(ms * float64(time.Millisecond))
		if err == nil && took >= slowStoreThreshold {
			out = append(out, fmt.Sprintf("its end was known %v before it could be stored; callers see it from then on", took.Round(time.Millisecond)))
		}
	}
	return out
}

// slowStartThreshold is the wait for a first start that is worth a word; a calm one takes 40 ms.
const slowStartThreshold = 300 * time.Millisecond

// startDelays says how long the first start took.
func (s Report) startDelays() []string {
	accepted, claimed := s.withMessage("Accepted a job."), s.withMessage("Claimed a run.")
	if len(accepted) == 0 {
		return nil
	}
	if len(claimed) == 0 {
		return []string{"accepted and never claimed for a worker within these lines"}
	}
	wait := claimed[0].Time.Sub(accepted[0].Time)
	if wait < slowStartThreshold {
		return nil
	}
	return []string{"its first start came " + wait.String() + " after it was accepted"}
}

// endNames are how a run may end, by the number in the log.
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

// minPause is the pause between two lines from which on it is pointed out.
const minPause = time.Second

// String writes the story for people.
func (s Report) String() string {
	if len(s.Lines) == 0 {
		return fmt.Sprintf("No line speaks of %s.\n", s.ID)
	}
	var b strings.Builder
	all := append(slices.Clone(s.Lines), s.Around...)
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	before := all[0].Time
	for _, l := range all {
		if pause := l.Time.Sub(before); pause >= minPause {
			fmt.Fprintf(&b, "             ... %v\n", pause.Round(time.Millisecond))
		}
		before = l.Time
		mark := " "
		if !l.Mentions(s.ID) {
			mark = "|"
		}
		fmt.Fprintf(&b, "%s %s %-16s %s%s\n", l.Time.UTC().Format("15:04:05.000"), mark, l.Process, l.Message, l.details())
	}
	b.WriteString("\n")
	if len(s.Causes) == 0 {
		b.WriteString("Nothing went wrong by these lines.\n")
	}
	for _, c := range s.Causes {
		fmt.Fprintf(&b, "Cause: %s.\n", c)
	}
	return b.String()
}

// details writes the fields in a stable order.
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
