package platform

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of a timeline.
const (
	minMarkInterval = time.Minute
	maxMarks        = 4096
)

// timeline remembers roughly when the log took which offset, and how far a
// state machine has read.
type timeline struct {
	// start is the first offset from which every record was read.
	start uint64
	next  uint64
	marks []mark
}

type mark struct {
	offset   uint64
	appended time.Time
}

func (t *timeline) restart(first uint64) {
	t.start, t.next, t.marks = first, first, nil
}

// advance notes a record, and returns false when it was read before.
func (t *timeline) advance(r Record) bool {
	if r.Offset < t.next {
		return false
	}
	t.next = r.Offset + 1
	n := len(t.marks)
	if n == 0 || r.Appended.Sub(t.marks[n-1].appended) >= minMarkInterval {
		t.marks = append(t.marks, mark{r.Offset, r.Appended})
	}
	if len(t.marks) > maxMarks {
		t.marks = slices.Delete(t.marks, 0, len(t.marks)-maxMarks)
	}
	return true
}

// timeAt returns a time that isn't after the record at the offset was appended.
func (t *timeline) timeAt(offset uint64) time.Time {
	i, found := slices.BinarySearchFunc(t.marks, offset, func(m mark, o uint64) int { return cmp.Compare(m.offset, o) })
	switch {
	case found:
		return t.marks[i].appended
	case i == 0:
		return time.Time{}
	default:
		return t.marks[i-1].appended
	}
}
