package clusterstate

import (
	"bytes"

	"sniperill.example/sniperill/pkg/shop"
)

// scanner reads progress in exactly the form that MarshalJSON writes, without building values from it. Anything
// else makes it fail, valid JSON too.
type scanner struct {
	data   []byte
	failed bool
}

// scannedUnit is a unit in encoded progress. Its slices are valid until the next one is read.
type scannedUnit struct {
	key                      UnitKey
	run, failures, failedRun int
	done                     bool
	checkpoint               []byte
	members, failedMembers   [][2]int // Task index and index into the places.
}

// scannedProgress is what precedes the units in encoded progress.
type scannedProgress struct {
	state  shop.JobState
	split  bool
	places [][2][]byte // Names and lifetimes.
}

// scanProgress reads encoded progress and calls f for each unit, in the order of their keys, until f fails. It
// reports whether the data has the form that MarshalJSON writes.
func scanProgress(data []byte, f func(*scannedProgress, *scannedUnit) error) (p scannedProgress, ok bool, err error) {
	s := scanner{data: data}
	s.expect("{")
	start := len(s.data)
	if s.field("state", start) {
		p.state = shop.JobState(s.text())
	}
	if s.field("split", start) {
		s.expect("true")
		p.split = true
	}
	if s.field("places", start) {
		s.list(func() {
			s.expect("[")
			name := s.text()
			s.expect(",")
			p.places = append(p.places, [2][]byte{name, s.text()})
			s.expect("]")
		})
	}
	if s.field("units", start) {
		var u scannedUnit
		last := UnitKey{Occurrence: -1}
		s.list(func() {
			s.unit(&u, len(p.places))
			// A key that comes twice is left to the general decoder.
			s.failed = s.failed || u.key.compare(last) <= 0
			last = u.key
			if !s.failed && err == nil {
				err = f(&p, &u)
			}
		})
	}
	s.expect("}")
	return p, !s.failed && len(s.data) == 0, err
}

// unit reads a unit whose members are at one of a number of places.
func (s *scanner) unit(u *scannedUnit, places int) {
	*u = scannedUnit{members: u.members[:0], failedMembers: u.failedMembers[:0]}
	s.expect(`{"k":[`)
	u.key.Occurrence = s.number()
	s.expect(",")
	u.key.Step = s.number()
	s.expect(",")
	u.key.Index = s.number()
	s.expect(`],"r":`)
	u.run = s.number()
	if s.accept(`,"f":`) {
		u.failures = s.number()
	}
	if s.accept(`,"x":`) {
		u.failedRun = s.number()
	}
	u.done = s.accept(`,"d":true`)
	if s.accept(`,"c":`) {
		u.checkpoint = s.text()
	}
	if s.accept(`,"m":`) {
		u.members = s.members(u.members, places)
	}
	if s.accept(`,"w":`) {
		u.failedMembers = s.members(u.failedMembers, places)
	}
	s.expect("}")
}

// members appends a list of members at one of a number of places.
func (s *scanner) members(out [][2]int, places int) [][2]int {
	s.list(func() {
		s.expect("[")
		index := s.number()
		s.expect(",")
		place := s.number()
		s.expect("]")
		s.failed = s.failed || place < 0 || place >= places
		out = append(out, [2]int{index, place})
	})
	return out
}

// accept skips text if it comes next, and reports whether it does.
func (s *scanner) accept(text string) bool {
	if s.failed || len(s.data) < len(text) || string(s.data[:len(text)]) != text {
		return false
	}
	s.data = s.data[len(text):]
	return true
}

// expect skips text that must come next.
func (s *scanner) expect(text string) { s.failed = s.failed || !s.accept(text) }

// field skips the name of a field if it comes next, given how much data followed the start of the object.
func (s *scanner) field(name string, start int) bool {
	if len(s.data) == start {
		return s.accept(`"` + name + `":`)
	}
	return s.accept(`,"` + name + `":`)
}

// list reads a list that is not empty, whose elements f reads.
func (s *scanner) list(f func()) {
	s.expect("[")
	for !s.failed {
		f()
		if !s.accept(",") {
			break
		}
	}
	s.expect("]")
}

// maxDigits is the length of the longest numbers that can't overflow.
const maxDigits = 18

// number reads an integer.
func (s *scanner) number() int {
	negative := s.accept("-")
	n, digits := 0, 0
	for digits < len(s.data) && '0' <= s.data[digits] && s.data[digits] <= '9' && digits <= maxDigits {
		n = 10*n + int(s.data[digits]-'0')
		digits++
	}
	leadingZero := digits > 0 && s.data[0] == '0' && (digits > 1 || negative)
	if s.failed || digits == 0 || digits > maxDigits || leadingZero {
		s.failed = true
		return 0
	}
	s.data = s.data[digits:]
	if negative {
		return -n
	}
	return n
}

// text reads a string without escapes.
func (s *scanner) text() []byte {
	s.expect(`"`)
	n := bytes.IndexByte(s.data, '"')
	if s.failed || n < 0 {
		s.failed = true
		return nil
	}
	out := s.data[:n]
	for _, c := range out {
		if c < ' ' || c == '\\' || c > '~' {
			s.failed = true
			return nil
		}
	}
	s.data = s.data[n+1:]
	return out
}
