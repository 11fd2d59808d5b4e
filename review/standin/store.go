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
	"sync/atomic"
	"time"

	"galenawharf.example/galenawharf/clock"
)

type (
	// store is a stand-in for the platform's store. It keeps all records and refuses those that are
	// larger than it announces.
	store struct {
		mu     sync.Mutex
		topics map[string]*topic
		rec    *recorder
		// latency is the time of an answer, in ms.
		latency atomic.Int64
		// silentTo is the host that gets no answer; empty if all are served.
		silentTo string
		// onAppend is called with each record that was appended.
		onAppend func(topic, key string, value []byte)
	}

	topic struct {
		// turn is held while an append is processed.
		turn    sync.Mutex
		records []record
		// changed is closed when records are added.
		changed chan struct{}
	}

	record struct {
		key   string
		value []byte
	}
)

const (
	keyedPrefix = "keyed."
	// recordBytes and requestBytes are the limits of the settings that hosts get.
	recordBytes  = 262144
	requestBytes = 2097152
	pageItems    = 500
	pageBytes    = 1 << 20
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * clock.Millis(1)
	// lengthBytes is the size of the length before each record, headerBytes that of the offsets
	// before the records of a read.
	lengthBytes = 4
	headerBytes = 16
)

func newStore(rec *recorder) *store {
	s := &store{topics: map[string]*topic{}, rec: rec, onAppend: func(string, string, []byte) {}}
	s.setLatency(answerTime)
	return s
}

func (s *store) setLatency(d clock.Millis) { s.latency.Store(int64(d)) }

func (s *store) answer() { sleep(clock.Millis(s.latency.Load())) }

func (s *store) topic(name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put adds a record on behalf of the operator or an executor.
func (s *store) put(topicName, key string, value []byte) {
	t := s.topic(topicName)
	t.turn.Lock()
	defer t.turn.Unlock()
	s.add(topicName, t, []record{{key, value}})
}

// add adds records to a topic whose turn is held, and returns its new end.
func (s *store) add(name string, t *topic, rs []record) int {
	s.mu.Lock()
	t.records = append(t.records, rs...)
	end := len(t.records)
	close(t.changed)
	t.changed = make(chan struct{})
	s.mu.Unlock()
	for _, r := range rs {
		s.onAppend(name, r.key, r.value)
	}
	return end
}

// setSilentTo makes the store not answer a host, and not do what it asks for.
func (s *store) setSilentTo(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentTo = host
}

// serve returns the handler for the calls of a host. Nothing further comes on a connection on which a call
// got no answer.
func (s *store) serve(host string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		silent := s.silentTo == host
		s.mu.Unlock()
		if silent {
			s.rec.write("store does not answer %s: %s %s", host, strings.TrimPrefix(r.URL.Path, "/galenawharf/"), r.URL.Query().Get("topic"))
			// The server sees that the client has gone once the body is read.
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		}
		s.handle(w, r)
	}
}

// handle handles the calls of the store that the system makes.
func (s *store) handle(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if !strings.HasPrefix(name, keyedPrefix) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case "/galenawharf/log-append":
		s.append(w, r, name)
	case "/galenawharf/log-read":
		s.read(w, r, name)
	case "/galenawharf/log-newest":
		s.newest(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, name string) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	rs, largest, ok := decodeRecords(b)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if largest > recordBytes || len(b)-lengthBytes*len(rs) > requestBytes {
		s.rec.writeEvery("store refused an append to "+name, "largest record %d bytes, more than %d", largest, recordBytes)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	at := r.URL.Query().Get("at")
	end, after, ok := s.appendAt(name, at, rs)
	if !ok {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end_offset": end})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": end, "end_offset": after})
}

// appendAt appends records if the topic ends at the given offset, or if that is empty. It returns the end
// before and after.
func (s *store) appendAt(name, at string, rs []record) (end, after int, ok bool) {
	t := s.topic(name)
	t.turn.Lock()
	defer t.turn.Unlock()
	s.answer()
	s.mu.Lock()
	end = len(t.records)
	s.mu.Unlock()
	if at != "" && at != strconv.Itoa(end) {
		return end, end, false
	}
	return end, s.add(name, t, rs), true
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		wait = 0
	}
	s.answer()
	t := s.topic(name)
	timeout := time.NewTimer(clock.Millis(wait).Duration())
	defer timeout.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		rs, changed := t.records, t.changed
		s.mu.Unlock()
		if from < len(rs) || !waiting {
			writeRecords(w, rs, from)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, rs []record, from int) {
	b := make([]byte, headerBytes)
	binary.BigEndian.PutUint64(b, uint64(len(rs)))
	for i := from; i < len(rs) && len(b) < pageBytes; i++ {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(rs[i].key)+len(rs[i].value)))
		b = append(append(append(b, byte(len(rs[i].key))), rs[i].key...), rs[i].value...)
	}
	// The client may have gone.
	_, _ = w.Write(b)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request, name string) {
	s.answer()
	after := r.URL.Query().Get("after")
	t := s.topic(name)
	s.mu.Lock()
	rs := t.records
	s.mu.Unlock()
	last := map[string]int{}
	for i, r := range rs {
		last[r.key] = i
	}
	var keys []string
	for k, i := range last {
		if k > after && len(rs[i].value) > 0 {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		v := rs[last[k]].value
		if len(items) == pageItems || size > 0 && size+len(v) > pageBytes {
			more = true
			break
		}
		size += len(v)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(v), "offset": last[k]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": len(rs)})
}

// decodeRecords returns the records of an append and the size of the largest.
func decodeRecords(b []byte) (rs []record, largest int, ok bool) {
	for len(b) > 0 {
		if len(b) < lengthBytes {
			return nil, 0, false
		}
		n := int(binary.BigEndian.Uint32(b))
		b = b[lengthBytes:]
		if n < 1 || n > len(b) || 1+int(b[0]) > n {
			return nil, 0, false
		}
		k := 1 + int(b[0])
		rs = append(rs, record{string(b[1:k]), slices.Clone(b[k:n])})
		largest = max(largest, n)
		b = b[n:]
	}
	return rs, largest, true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have gone.
	_, _ = w.Write(b)
}

func sleep(d clock.Millis) {
	if d > 0 {
		time.Sleep(d.Duration())
	}
}
