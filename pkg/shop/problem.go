package shop

import (
	"fmt"
	"strings"
)

// Problem is one mistake in a settings file or a configuration folder.
type Problem struct {
	File    string `json:"file,omitempty"`
	Field   string `json:"field"`
	Value   string `json:"value,omitempty"`
	Message string `json:"message"`
}

// String formats the problem as "file: field = value: message", without the file and the
// value when they are empty.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s: ", p.File)
	}
	b.WriteString(p.Field)
	if p.Value != "" {
		fmt.Fprintf(&b, " = %s", p.Value)
	}
	fmt.Fprintf(&b, ": %s", p.Message)
	return b.String()
}

// ProblemList holds all mistakes found. It implements error; use Err to get nil for an empty list.
type ProblemList []Problem

// Add appends a problem.
func (l *ProblemList) Add(field, value, message string) {
	*l = append(*l, Problem{Field: field, Value: value, Message: message})
}

// Under appends the problems of a part of a configuration, with field prepended to their fields.
func (l *ProblemList) Under(field string, part ProblemList) {
	for _, p := range part {
		if p.Field == "" {
			p.Field = field
		} else {
			p.Field = field + "." + p.Field
		}
		*l = append(*l, p)
	}
}

// Err returns the list as an error, or nil when it is empty.
func (l ProblemList) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns one line per problem.
func (l ProblemList) Error() string {
	lines := make([]string, len(l))
	for i, p := range l {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrInvalid) true for every ProblemList.
func (l ProblemList) Is(target error) bool { return target == ErrInvalid }
