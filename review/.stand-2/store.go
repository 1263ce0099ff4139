package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// logStore is the platform's store: keyed topics of one partition each.
type logStore struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	// seen is called with each record that is appended to the journal.
	seen func(key string, value []byte)
}

type topic struct {
	records   []storedRecord
	newest    map[string]int
	producers map[string]*producer
}

type storedRecord struct {
	key   string
	value []byte
	raw   []byte
}

type producer struct {
	epoch, next int64
	answers     map[int64]int64 // Offsets of the last appends, by sequence.
}

func newStore() *logStore {
	return &logStore{topics: make(map[string]*topic), changed: make(chan struct{})}
}

// topic returns a topic. The caller holds the lock.
func (s *logStore) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]int), producers: make(map[string]*producer)}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(raw []byte) {
	r := storedRecord{raw: raw}
	if len(raw) > 0 && int(raw[0]) < len(raw) {
		r.key, r.value = string(raw[1:1+int(raw[0])]), raw[1+int(raw[0]):]
	}
	t.newest[r.key] = len(t.records)
	t.records = append(t.records, r)
}

// put writes a record as the operator does.
func (s *logStore) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(append(append([]byte{byte(len(key))}, key...), value...))
	s.wake()
}

// wake wakes readers. The caller holds the lock.
func (s *logStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *logStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r)
	case "/-/log-read":
		s.read(w, r)
	case "/-/log-newest":
		s.newestPage(w, q.Get("topic"), q.Get("depends_on"))
	default:
		http.NotFound(w, r)
	}
}

func (s *logStore) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var raws [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			writeJSON(w, http.StatusBadRequest, map[string]any{})
			return
		}
		raws, body = append(raws, body[4:4+n]), body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
		p, ok := t.producers[name]
		switch {
		case !ok || epoch > p.epoch:
			p = &producer{epoch: epoch, next: sequence, answers: make(map[int64]int64)}
			t.producers[name] = p
		case epoch < p.epoch:
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if len(raws) > 0 {
			if offset, repeated := p.answers[sequence]; repeated {
				writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": len(t.records)})
				return
			}
			if sequence != p.next {
				writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.next})
				return
			}
			p.next++
			p.answers[sequence] = int64(len(t.records))
			delete(p.answers, sequence-5)
		}
	}
	offset := len(t.records)
	for _, raw := range raws {
		t.add(raw)
		if s.seen != nil {
			last := t.records[len(t.records)-1]
			s.seen(last.key, last.value)
		}
	}
	s.wake()
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": len(t.records)})
}

func (s *logStore) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; ; {
		s.mu.Lock()
		t, changed := s.topic(q.Get("topic")), s.changed
		if len(t.records) > from || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < len(t.records) && len(out) < maxKB<<10; i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i].raw)))
				out = append(out, t.records[i].raw...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *logStore) newestPage(w http.ResponseWriter, name, after string) {
	const maxItems = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	var keys []string
	for k, at := range t.newest {
		if k > after && len(t.records[at].value) > 0 {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > maxItems
	items := []map[string]any{}
	for _, k := range keys[:min(maxItems, len(keys))] {
		at := t.newest[k]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(t.records[at].value), "offset": at})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": len(t.records)})
}
