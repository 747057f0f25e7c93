package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

const (
	loadTime  = 420 * time.Millisecond // new weights take a runner that long
	reportLag = 150 * time.Millisecond // the age of what a report says
	modelName = "daka510000"
)

// order is one order that reached an engine.
type order struct {
	at      time.Time
	holder  string
	token   uint64
	version int
	expect  int
	status  int
	runner  string
}

// machine is the machine that gave the order.
func (o order) machine() string {
	m, _, _ := strings.Cut(o.holder, "@")
	return m
}

type engineState struct {
	at                time.Time
	version, accepted int
	busy              bool
}

// engine is a sound runner of a model that takes orders and does not check fences.
type engine struct {
	id, address string
	born        int64
	log         *platformtest.Log
	record      func(o order)
	stop        chan struct{}
	server      *http.Server

	mu     sync.Mutex
	seq    int
	states []engineState
}

func startEngine(id string, log *platformtest.Log, record func(o order)) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	now := time.Now()
	e := &engine{id: id, address: l.Addr().String(), born: now.UnixMilli(), log: log, record: record, stop: make(chan struct{}), states: []engineState{{at: now, version: 1}}}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			e.beat()
			select {
			case <-t.C:
			case <-e.stop:
				return
			}
		}
	}()
	return e, nil
}

func (e *engine) close() {
	close(e.stop)
	_ = e.server.Close()
}

func (e *engine) now() engineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.states[len(e.states)-1]
}

// reported is the state as of some time ago.
func (e *engine) reported() engineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.states[0]
	for _, s := range e.states {
		if time.Since(s.at) >= reportLag {
			out = s
		}
	}
	return out
}

func (e *engine) beat() {
	version := e.now().version
	e.mu.Lock()
	e.seq++
	seq := e.seq
	e.mu.Unlock()
	e.log.PutKeyed("keyed.servers", e.id, encode(map[string]any{"Service": "hydro-llm", "Address": e.address, "Zone": "z1", "Version": "1.4.2", "Slots": 24,
		"State": "ready", "ColdRemainingMs": 0, "Stage": "unified", "Models": models(version), "Sequence": seq, "born": e.born}))
}

func models(version int) []any {
	return []any{map[string]any{"Name": modelName, "Version": version, "Adapters": []any{}}}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	switch q.URL.Path {
	case "/-/report":
		s := e.reported()
		_, _ = w.Write(encode(map[string]any{"Stage": "unified", "Models": models(s.version), "Busy": s.busy, "Sequence": s.accepted, "Waiting": 0, "Running": 0,
			"KvUsed": 0, "KvTotal": 112958, "Handles": 0, "born": e.born}))
	case "/-/order":
		e.take(w, q)
	case "/-/kv-events":
		wait, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))
		time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
		_, _ = fmt.Fprintf(w, `{"BootEpoch":%d,"NextToken":1,"Lost":false,"Events":[]}`, e.born)
	default:
		e.stream(w, q)
	}
}

const (
	streamEvents = 5
	eventPause   = 80 * time.Millisecond
)

// stream runs a request.
func (e *engine) stream(w http.ResponseWriter, q *http.Request) {
	s := e.now()
	h := w.Header()
	id := q.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	h.Set("X-Weight-Versions", strconv.Itoa(s.version))
	if want := q.Header.Get("X-Expect-Version"); want != "" && want != strconv.Itoa(s.version) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.busy || id == "" { // requests that have not started wait for the end of the order
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Set("X-Response-Stamp", e.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= streamEvents; i++ {
		time.Sleep(eventPause)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

func (e *engine) take(w http.ResponseWriter, q *http.Request) {
	text, err := io.ReadAll(q.Body)
	var o struct {
		Holder       string
		FencingToken *uint64
		Version      int
		Expect       *int
	}
	if err != nil || json.Unmarshal(text, &o) != nil || o.Holder == "" || o.FencingToken == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s := e.states[len(e.states)-1]
	status := http.StatusAccepted
	switch {
	case s.busy || o.Expect != nil && *o.Expect != s.accepted:
		status = http.StatusConflict
	case s.version >= o.Version:
		status = http.StatusOK
	default:
		e.states = append(e.states, engineState{at: time.Now(), version: s.version, accepted: s.accepted + 1, busy: true})
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.states = append(e.states, engineState{at: time.Now(), version: o.Version, accepted: s.accepted + 1})
		})
	}
	e.mu.Unlock()
	out := order{at: time.Now(), holder: o.Holder, token: *o.FencingToken, version: o.Version, status: status, runner: e.id}
	if o.Expect != nil {
		out.expect = *o.Expect
	}
	e.record(out)
	w.WriteHeader(status)
}
