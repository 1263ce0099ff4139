// Package explain tells what became of one request or job from the log lines of all
// processes.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// maxLineBytes bounds one log line, in bytes; the longest have some thousand.
const maxLineBytes = 1 << 20

// Line is one line of a process's log.
type Line struct {
	Time    time.Time
	Process string
	Part    string
	Level   string
	Message string
	// Fields are the others, as they were written.
	Fields map[string]json.RawMessage
}

// Read reads log lines. What precedes a line's first brace is passed over, so that the
// output of tools that put a name or a time in front can be read as it is. Lines that
// are no log lines are counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Bytes()
		i := bytes.IndexByte(text, '{')
		if i < 0 {
			skipped++
			continue
		}
		l, err := parse(text[i:])
		if err != nil {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return lines, skipped, fmt.Errorf("story.Read: %w", err)
	}
	return lines, skipped, nil
}

func parse(data []byte) (Line, error) {
	l := Line{}
	if err := json.Unmarshal(data, &l.Fields); err != nil {
		return l, err
	}
	for _, f := range []struct {
		name string
		into any
	}{
		{"time", &l.Time}, {"process", &l.Process}, {"part", &l.Part}, {"level", &l.Level}, {"message", &l.Message},
	} {
		raw, ok := l.Fields[f.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, f.into); err != nil {
			return l, fmt.Errorf("story: field %s: %w", f.name, err)
		}
		delete(l.Fields, f.name)
	}
	return l, nil
}

// Text returns a field as text; numbers and lists as they were written.
func (l Line) Text(name string) string {
	var s string
	raw := l.Fields[name]
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// Mentions says whether the line speaks of a job or request.
func (l Line) Mentions(id string) bool {
	return l.Text("job") == id || l.Text("for") == id || strings.HasPrefix(l.Text("task"), id+".") ||
		strings.Contains(l.Text("path"), id)
}
