package platform

import (
	"cmp"
	"slices"
	"time"
)

// Resolution and size of a timeline.
const (
	minMarkInterval = time.Minute
	maxMarks        = 4096
)

// timeline tracks how far a state machine has read, and approximately when each
// offset was appended to the log.
type timeline struct {
	// start is the offset from which on every record was read.
	start uint64
	// next is the offset after the last record read.
	next  uint64
	marks []mark
}

// mark is an offset and the time at which it was appended.
type mark struct {
	offset   uint64
	appended time.Time
}

// restart forgets all marks and continues at first.
func (t *timeline) restart(first uint64) {
	t.start, t.next, t.marks = first, first, nil
}

// advance moves past a record. It returns false when the record was read before.
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

// timeAt returns a lower bound of the time at which the record at an offset was
// appended; the zero time when there is no mark at or before the offset.
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
