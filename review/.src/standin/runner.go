package standin

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// workTime is how long a plain request runs.
	workTime = 30 * time.Millisecond
)

// Run is a request that a runner has run.
type Run struct {
	At      time.Time
	ID      string
	Account string
	URI     string
	Header  http.Header
}

// Runner is a stand-in of a runner of a plain service.
type Runner struct {
	ID, Service, Zone, Address string

	born   int64
	record *Record
	stop   chan struct{}
	mu     sync.Mutex
	runs   []Run
	beats  int
}

// NewRunner starts a plain runner that registers itself in the store.
func NewRunner(store *Store, record *Record, service, zone string) (*Runner, error) {
	r := &Runner{ID: "i-" + RandomID()[:8], Service: service, Zone: zone, born: time.Now().UnixMilli(), record: record, stop: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.Address = listener.Addr().String()
	go func() { _ = http.Serve(listener, r) }()
	go r.beat(store)
	return r, nil
}

func (r *Runner) beat(store *Store) {
	for {
		r.mu.Lock()
		r.beats++
		entry, _ := json.Marshal(map[string]any{"Service": r.Service, "Address": r.Address, "Zone": r.Zone, "Version": "v1", "Slots": 6,
			"State": "ready", "ColdRemainingMs": 0, "Sequence": r.beats, "born": r.born})
		r.mu.Unlock()
		store.Put("keyed.servers", r.ID, entry)
		select {
		case <-time.After(heartbeat):
		case <-r.stop:
			return
		}
	}
}

// Runs returns what the runner has run.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// ServeHTTP answers a request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.ID {
		w.Header().Set("X-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	run := Run{At: time.Now(), ID: q.Header.Get("X-Request-Id"), Account: q.Header.Get("X-Tenant"), URI: q.RequestURI, Header: q.Header.Clone()}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	r.record.Add("%s runs %s %s of tenant %q, id %s", r.ID, q.Method, q.RequestURI, run.Account, run.ID)
	time.Sleep(workTime)
	h := w.Header()
	h.Set("X-Request-Id", run.ID)
	h.Set("X-Response-Stamp", "stamp-"+run.ID)
	h.Set("X-Instance-Load", "1,0,6")
	body := "done " + run.ID
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// RandomID returns an id of a request.
func RandomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// PartialEntry returns an entry with the runner's id and address for another service, as another
// writer may leave it: `Version`, `Slots`, `ColdRemainingMs` and `Sequence` are missing.
func (r *Runner) PartialEntry(service string) map[string]any {
	return map[string]any{"Service": service, "Address": r.Address, "Zone": r.Zone, "State": "ready", "born": r.born}
}
