package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and delays of the store, those of a small deployment.
const (
	storeDelay      = 4 * time.Millisecond
	maxRecordBytes  = 262144
	maxRequestBytes = 2097152
	maxReadWait     = 30 * time.Second
	newestPageItems = 500
	newestPageBytes = 1 << 20
	repliesKept     = 5 // Appends of a producer whose repeats get the first reply again.
)

// store stands in for the platform's metadata store: an append-only log with topics of one partition.
// It loses nothing that it has acknowledged.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	silent bool
}

type topic struct {
	records   [][]byte
	producers map[string]*producer
	grown     chan struct{} // Closed when records are appended.
}

// producer is what the store knows of one writer of a topic.
type producer struct {
	epoch, next int64 // next is the sequence number of the next append.
	started     bool
	replies     map[int64]int64 // Offsets of the last appends, by sequence number.
}

func newStore() *store { return &store{topics: make(map[string]*topic)} }

// topic returns a topic, which is created on first use. The caller holds mu.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{producers: make(map[string]*producer), grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a keyed record, as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([][]byte{keyed(key, value)})
}

// newest returns the newest value of a key, or nil.
func (s *store) newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	for i := len(t.records) - 1; i >= 0; i-- {
		if k, v, ok := splitKeyed(t.records[i]); ok && k == key {
			return v
		}
	}
	return nil
}

func keyed(key string, value []byte) []byte {
	return slices.Concat([]byte{byte(len(key))}, []byte(key), value)
}

func splitKeyed(r []byte) (key string, value []byte, ok bool) {
	if len(r) == 0 || int(r[0]) > len(r)-1 {
		return "", nil, false
	}
	n := 1 + int(r[0])
	return string(r[1:n]), r[n:], true
}

// add appends records and wakes readers. The caller holds the store's mutex.
func (t *topic) add(records [][]byte) (offset int64) {
	offset = int64(len(t.records))
	t.records = append(t.records, records...)
	close(t.grown)
	t.grown = make(chan struct{})
	return offset
}

// setSilent makes the store leave all calls unanswered and undone, or answer again.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	for _, t := range s.topics { // Ends the reads that wait.
		close(t.grown)
		t.grown = make(chan struct{})
	}
}

// awaitCaller leaves a call unanswered while the store is silent.
func (s *store) awaitCaller(r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	}
}

// ServeHTTP answers a call after the store's delay.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	s.awaitCaller(r)
	name := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r, name, body)
	case "/-/log-read":
		s.read(w, r, name)
	case "/-/log-newest":
		s.newestPage(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64) // Zero if it is missing.
	return n
}

// unframe splits the body of an append into records. It fails if a record is incomplete or too large.
func unframe(body []byte) (records [][]byte, ok bool) {
	total := 0
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > maxRecordBytes || n > len(body)-4 {
			return nil, false
		}
		total += n
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records, total <= maxRequestBytes
}

func reply(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // A client that has disconnected repeats its call.
}

func (s *store) append(w http.ResponseWriter, r *http.Request, name string, body []byte) {
	records, ok := unframe(body)
	if !ok || name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at := r.URL.Query().Get("at"); at != "" && number(r, "at") != int64(len(t.records)) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": len(t.records)})
		return
	}
	if by := r.URL.Query().Get("producer"); by != "" {
		p, ok := t.producers[by]
		if !ok {
			p = &producer{}
			t.producers[by] = p
		}
		epoch, sequence := number(r, "epoch"), number(r, "sequence")
		switch {
		case epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > p.epoch:
			*p = producer{epoch: epoch}
		}
		if len(records) == 0 {
			reply(w, http.StatusOK, map[string]any{"offset": len(t.records), "end_offset": len(t.records)})
			return
		}
		if offset, ok := p.replies[sequence]; ok {
			reply(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": len(t.records)})
			return
		}
		if p.started && sequence != p.next {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "expected": p.next})
			return
		}
		if p.replies == nil {
			p.replies = make(map[int64]int64)
		}
		p.started, p.next, p.replies[sequence] = true, sequence+1, int64(len(t.records))
		delete(p.replies, sequence-repliesKept)
	}
	offset := int64(len(t.records))
	if len(records) > 0 {
		t.add(records)
	}
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string) {
	from, limit := number(r, "from"), int(number(r, "max_kb"))<<10
	if limit == 0 {
		limit = 1 << 20
	}
	deadline := time.NewTimer(min(maxReadWait, time.Duration(number(r, "wait_ms"))*time.Millisecond))
	defer deadline.Stop()
	for waiting := true; waiting; {
		s.mu.Lock()
		t := s.topic(name)
		grown, end := t.grown, int64(len(t.records))
		s.mu.Unlock()
		if from < end {
			break
		}
		select {
		case <-grown:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
		s.awaitCaller(r)
	}
	s.mu.Lock()
	records := s.topic(name).records
	s.mu.Unlock()
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < int64(len(records)); i++ {
		if i > from && len(out)+len(records[i]) > limit {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(records[i])))
		out = append(out, records[i]...)
	}
	_, _ = w.Write(out) // A client that has disconnected repeats its call.
}

func (s *store) newestPage(w http.ResponseWriter, r *http.Request, name string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topic(name).records
	s.mu.Unlock()
	last := make(map[string]int)
	for i, record := range records {
		if key, value, ok := splitKeyed(record); ok {
			last[key] = i
			if len(value) == 0 {
				delete(last, key)
			}
		}
	}
	var items []item
	for key, i := range last {
		if key > r.URL.Query().Get("depends_on") {
			_, value, _ := splitKeyed(records[i])
			items = append(items, item{key, base64.StdEncoding.EncodeToString(value), i})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(items) && n < newestPageItems && (n == 0 || size+len(items[n].Value) <= newestPageBytes) {
		size += len(items[n].Value)
		n++
	}
	reply(w, http.StatusOK, map[string]any{"items": items[:n], "has_more": n < len(items), "end_offset": len(records)})
}
