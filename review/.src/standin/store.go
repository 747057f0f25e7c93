package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the pages and the settings of the small sites give them.
const (
	answerTime   = 4 * time.Millisecond
	recordBytes  = 262_144
	defaultMaxKB = 1024
	maxWait      = 30 * time.Second
	pageItems    = 500
	pageBytes    = 1 << 20
)

// Store is a stand-in of the platform's store: a log whose topics have one partition. Groups
// and committed offsets are left out, since a router uses none.
type Store struct {
	Address string

	mu     sync.Mutex
	topics map[string]*topic
	delay  time.Duration
	// forgotten is the number of times that the history was dropped.
	forgotten int
}

type topic struct {
	records [][]byte
	// first is the first offset that is kept.
	first   int
	changed chan struct{}
}

// NewStore starts a store on a free port of loopback.
func NewStore() (*Store, error) {
	s := &Store{topics: map[string]*topic{}, delay: answerTime}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.Address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// SetDelay sets the time that the store takes for an answer.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// ForgetHistory drops the history of all topics, but for the newest record of each key of a
// keyed topic, and cuts the reads that wait.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first = len(t.records)
		close(t.changed)
		t.changed = make(chan struct{})
	}
	s.forgotten++
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(records ...[]byte) {
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Put writes a keyed record, as the operator and runners do; a nil value removes the key. It
// returns when the store confirms the write.
func (s *Store) Put(name, key string, value []byte) time.Time {
	if len(value) > recordBytes {
		panic("the record is larger than the store takes")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(append(append([]byte{byte(len(key))}, key...), value...))
	return time.Now()
}

// ServeHTTP answers the calls of routers.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		s.append(w, r)
	case "GET /-/log-read":
		s.read(w, r)
	case "GET /-/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("Topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var records [][]byte
	for len(body) > 0 {
		n := 0
		if len(body) >= 4 {
			n = int(binary.BigEndian.Uint32(body))
		}
		if len(body) < 4 || n > recordBytes || n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	s.mu.Lock()
	t := s.topic(name)
	offset := len(t.records)
	if len(records) > 0 {
		t.add(records...)
	}
	end := len(t.records)
	s.mu.Unlock()
	replyJSON(w, map[string]int{"Offset": offset, "End": end})
}

// read answers with the records from an offset on, at most MaxKb of them, as soon as there is
// one.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
	limit := defaultMaxKB << 10
	if kb, err := strconv.Atoi(q.Get("MaxKb")); err == nil && kb > 0 {
		limit = kb << 10
	}
	s.mu.Lock()
	forgotten := s.forgotten
	s.mu.Unlock()
	timeout := time.After(min(time.Duration(waitMs)*time.Millisecond, maxWait))
	for waiting := true; ; {
		s.mu.Lock()
		t := s.topic(q.Get("Topic"))
		records, changed, first, cut := t.records, t.changed, t.first, s.forgotten != forgotten
		s.mu.Unlock()
		if cut {
			panic(http.ErrAbortHandler)
		}
		if from < first || from > len(records) {
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int{"First": first})
			return
		}
		if from < len(records) || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, uint64(first))
			for i, record := range records[from:] {
				if i > 0 && len(out)+4+len(record) > limit {
					break
				}
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(record))), record...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key, Value string
		Offset     int
	}
	s.mu.Lock()
	records := s.topic(r.URL.Query().Get("Topic")).records
	s.mu.Unlock()
	last := map[string]int{}
	for i, record := range records {
		last[string(record[1:1+int(record[0])])] = i
	}
	after := r.URL.Query().Get("after")
	var keys []string
	for key, i := range last {
		if len(records[i]) > 1+len(key) && strings.Compare(key, after) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	var items []item
	size := 0
	for _, key := range keys {
		value := records[last[key]][1+len(key):]
		if len(items) == pageItems || len(items) > 0 && size+len(value) > pageBytes {
			break
		}
		size += len(value)
		items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: last[key]})
	}
	replyJSON(w, map[string]any{"items": items, "HasMore": len(items) < len(keys), "End": len(records)})
}

func replyJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
