// Package explain reconstructs the history of one request or job from the logs of all
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

// maxLineBytes is the maximum length of a log line; the longest have a few thousand bytes.
const maxLineBytes = 1 << 20

// Line is one line of the log of a process.
type Line struct {
	Time    time.Time
	Process string
	Part    string
	Level   string
	Message string
	// Fields holds all other fields as raw JSON.
	Fields map[string]json.RawMessage
}

// Read parses log lines. It ignores the text before the first brace of a line, since
// tools that collect logs may prefix lines with a name or a time. Lines that are not
// valid log lines are skipped and counted.
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
		return lines, skipped, fmt.Errorf("explain.Read: %w", err)
	}
	return lines, skipped, nil
}

func parse(data []byte) (Line, error) {
	l := Line{}
	if err := json.Unmarshal(data, &l.Fields); err != nil {
		return l, err
	}
	for _, f := range []struct {
		name   string
		target any
	}{
		{"time", &l.Time}, {"process", &l.Process}, {"part", &l.Part}, {"level", &l.Level}, {"message", &l.Message},
	} {
		raw, ok := l.Fields[f.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, f.target); err != nil {
			return l, fmt.Errorf("explain: field %s: %w", f.name, err)
		}
		delete(l.Fields, f.name)
	}
	return l, nil
}

// Text returns the value of a field: a string without its quotes, any other value as
// JSON.
func (l Line) Text(name string) string {
	var s string
	raw := l.Fields[name]
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// Mentions reports whether the line refers to the job or request with the given ID.
func (l Line) Mentions(id string) bool {
	return l.Text("job") == id || l.Text("for") == id || strings.HasPrefix(l.Text("task"), id+".") ||
		strings.Contains(l.Text("path"), id)
}
