package shop

import (
	"fmt"
	"strings"
)

// FindingKind says what is wrong with an entry of a configuration.
type FindingKind string

// Kinds of findings, the gravest first.
const (
	Mistake       FindingKind = "mistake"       // The value is not valid.
	Contradiction FindingKind = "contradiction" // Valid by itself, but not together with others.
	NeverMatches  FindingKind = "never-matches" // The entry has no effect.
)

// Finding is a problem of a configuration that is about to be sent.
type Finding struct {
	Kind FindingKind `json:"kind"`
	Problem
}

// String formats the finding as "kind: file: field = value: message".
func (f Finding) String() string { return string(f.Kind) + ": " + f.Problem.String() }

// FindingList holds all findings of a configuration.
type FindingList []Finding

// Add appends a finding.
func (l *FindingList) Add(kind FindingKind, field, value, format string, args ...any) {
	*l = append(*l, Finding{kind, Problem{Field: field, Value: value, Message: fmt.Sprintf(format, args...)}})
}

// AddProblems appends problems as findings of a kind.
func (l *FindingList) AddProblems(kind FindingKind, problems ProblemList) {
	for _, p := range problems {
		*l = append(*l, Finding{kind, p})
	}
}

// WithFiles returns a copy in which each finding without a file names the one that set its field.
func (l FindingList) WithFiles(sources SourceList) FindingList {
	out := make(FindingList, 0, len(l))
	for _, f := range l {
		if f.File == "" {
			f.File = sources.Find(f.Field)
		}
		out = append(out, f)
	}
	return out
}

// String returns one line per finding.
func (l FindingList) String() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
