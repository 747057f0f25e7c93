package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

const (
	heartbeat = 1200 * time.Millisecond
	slots     = 6
)

// run is one request that a runner ran.
type run struct {
	id, method, host, path, query, tenant string
	body                                  string
	at                                    time.Time
}

// runner is a sound runner of a plain service: it registers itself, checks the instance that a
// request expects, echoes the request's id and signs its response.
type runner struct {
	id, service, address string
	born                 int64

	mu       sync.Mutex
	seq      int
	running  int
	runs     []run
	work     time.Duration
	stop     chan struct{}
	stopping sync.Once
	server   *http.Server
}

func startRunner(id, service string, work time.Duration) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, address: l.Addr().String(), born: time.Now().UnixMilli(), work: work, stop: make(chan struct{})}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

// entry returns the runner's next entry in the platform's store.
func (r *runner) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	return map[string]any{"Service": r.service, "Address": r.address, "Zone": "z1", "Version": "1.4.2", "Slots": slots,
		"State": "ready", "ColdRemainingMs": 0, "Sequence": r.seq, "born": r.born}
}

// beat writes the entry now and then at each heartbeat.
func (r *runner) beat(log *platformtest.Log) {
	write := func() { log.PutKeyed("keyed.servers", r.id, encode(r.entry())) }
	write()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				write()
			case <-r.stop:
				return
			}
		}
	}()
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

// stopBeats ends the heartbeats; the runner serves on.
func (r *runner) stopBeats() { r.stopping.Do(func() { close(r.stop) }) }

func (r *runner) close() {
	r.stopBeats()
	_ = r.server.Close()
}

func (r *runner) ran() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

func (r *runner) load(delta int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running += delta
	return fmt.Sprintf("%d,0,%d", r.running, slots)
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", r.id)
	if q.URL.Path == "/health" {
		h.Set("X-Instance-Load", r.load(0))
		return
	}
	id := q.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.load(1)
	defer r.load(-1)
	r.mu.Lock()
	r.runs = append(r.runs, run{id: id, method: q.Method, host: q.Host, path: q.URL.EscapedPath(), query: q.URL.RawQuery,
		tenant: q.Header.Get("X-Tenant"), body: string(body), at: time.Now()})
	n := len(r.runs)
	r.mu.Unlock()
	time.Sleep(r.work)
	h.Set("X-Instance-Load", r.load(0))
	h.Set("X-Response-Stamp", r.id+"."+strconv.Itoa(n))
	_, _ = fmt.Fprintf(w, "ran %s on %s\n", id, r.id)
}

// noteRuns writes to the record what each runner ran.
func (s *system) noteRuns() {
	for _, r := range s.runners {
		for _, ran := range r.ran() {
			s.note("runner %s (%s) ran %s at %s: %s, host %s, path %s, query %q", r.id, r.service, ran.id, ran.at.Format("15:04:05.000"), ran.method, ran.host, ran.path, ran.query)
		}
	}
}
