package standin

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
)

const (
	// prefillRate is the number of prompt tokens that an engine reads in a ms.
	prefillRate = 38.7
	// stepTime is the time between two events of a stream.
	stepTime = 6 * time.Millisecond
	// eventsLag is the delay of cache events, and maxEventsWait the longest wait for them.
	eventsLag     = 80 * time.Millisecond
	maxEventsWait = time.Second
	// loadTime is the time in which an engine takes new weights.
	loadTime = 400 * time.Millisecond
)

// Part is a part of a prompt that an engine keeps, and the request that made it.
type Part struct {
	ID, Salt string
	Tokens   int
	MadeBy   string
	Account  string
	// Version is that of the weights under which the part was made, and MadeAt the engine
	// that made it.
	Version int
	MadeAt  string
}

// Order is an order that arrived at an engine.
type Order struct {
	At      time.Time
	Holder  string
	Token   int
	Version int
	Status  int
}

// Use tells that a request used a part that another request had made.
type Use struct {
	At      time.Time
	Request string
	Account string
	Version int
	Part    Part
}

// Engine is a stand-in of a model runner.
type Engine struct {
	ID, Service, Zone, Address, Model string

	store  *Store
	record *Record

	mu       sync.Mutex
	born     int64
	beats    int
	epoch    int
	version  int
	accepted int
	fence    int
	loading  bool
	parts    map[string]Part // by salt and id
	events   []any
	eventsAt []time.Time
	uses     []Use
	runs     []Run
	down     bool
	orders   []Order
	// IgnoresFences is set for an engine that does not check fencing tokens.
	IgnoresFences bool
	// LateOrder, if set, says of an order whether it stays unanswered, and how much later it is
	// carried out.
	LateOrder func(version int) (time.Duration, bool)
}

// engines holds all engines of the process by their addresses, for fetches between them.
var engines sync.Map

// NewEngine starts an engine that registers itself in the store.
func NewEngine(store *Store, record *Record, service, zone, model string) (*Engine, error) {
	e := &Engine{ID: "i-" + RandomID()[:8], Service: service, Zone: zone, Model: model, store: store, record: record,
		born: time.Now().UnixMilli(), version: 1, epoch: 1, parts: map[string]Part{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.Address = listener.Addr().String()
	engines.Store(e.Address, e)
	go func() { _ = http.Serve(listener, e) }()
	go func() {
		for {
			e.beat()
			time.Sleep(heartbeat)
		}
	}()
	return e, nil
}

func (e *Engine) beat() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.beats++
	entry, _ := json.Marshal(map[string]any{"Service": e.Service, "Address": e.Address, "Zone": e.Zone, "Version": "v1", "Slots": 64,
		"State": "ready", "ColdRemainingMs": 0, "Stage": "unified", "Models": e.models(), "Sequence": e.beats, "born": e.born})
	e.mu.Unlock()
	e.store.Put("keyed.servers", e.ID, entry)
}

func (e *Engine) models() []any {
	return []any{map[string]any{"Name": e.Model, "Version": e.version, "Adapters": []any{}}}
}

// Uses returns the uses of parts that other requests had made.
func (e *Engine) Uses() []Use {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Use(nil), e.uses...)
}

// Runs returns what the engine has run.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Version returns the version of the engine's weights.
func (e *Engine) Version() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// ServeHTTP answers a call or a request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if e.isDown() {
		panic(http.ErrAbortHandler)
	}
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != e.ID {
		w.Header().Set("X-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.Method + " " + q.URL.Path {
	case "GET /-/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		replyJSON(w, map[string]any{"Stage": "unified", "Models": e.models(), "Busy": e.loading, "Sequence": e.accepted, "Waiting": 0,
			"Running": 0, "KvUsed": 0, "KvTotal": 99532, "Handles": 0, "State": "ready"})
	case "GET /-/kv-events":
		e.serveEvents(w, q)
	case "POST /-/order":
		e.order(w, q)
	default:
		e.run(w, q)
	}
}

func (e *Engine) serveEvents(w http.ResponseWriter, q *http.Request) {
	since, _ := strconv.Atoi(q.URL.Query().Get("Since"))
	wait, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))
	end := time.Now().Add(min(time.Duration(wait)*time.Millisecond, maxEventsWait))
	for {
		e.mu.Lock()
		told := 0
		for told < len(e.events) && time.Since(e.eventsAt[told]) >= eventsLag {
			told++
		}
		epoch, news := e.epoch, append([]any{}, e.events[min(since, told):told]...)
		e.mu.Unlock()
		if len(news) > 0 || !time.Now().Before(end) {
			replyJSON(w, map[string]any{"BootEpoch": epoch, "NextToken": told, "Lost": false, "Events": news})
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// keep stores a part and tells it; e.mu is held.
func (e *Engine) keep(p Part) {
	e.parts[p.Salt+" "+p.ID] = p
	e.tell("+", p)
}

func (e *Engine) tell(sign string, p Part) {
	tokens := p.Tokens
	if sign == "-" {
		tokens = 0
	}
	e.events = append(e.events, []any{len(e.events) + 1, sign, p.Salt, p.ID, tokens, e.Model})
	e.eventsAt = append(e.eventsAt, time.Now())
}

// run runs a request: it reads the parts of the prompt that it does not keep under the
// request's salt, and answers with a short stream.
func (e *Engine) run(w http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id, account, salt := q.Header.Get("X-Request-Id"), q.Header.Get("X-Tenant"), q.Header.Get("X-Cache-Salt")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Load", "1,0,64")
	e.mu.Lock()
	if e.loading {
		e.mu.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if expected, err := strconv.Atoi(q.Header.Get("X-Expect-Version")); err == nil && expected != e.version {
		e.mu.Unlock()
		h.Set("X-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Unlock()
	fetched := e.fetch(q.Header.Get("X-Kv-Fetch"), salt)
	e.mu.Lock()
	version, epoch, now := e.version, e.epoch, time.Now()
	e.runs = append(e.runs, Run{At: now, ID: id, Account: account, URI: q.RequestURI, Header: q.Header.Clone()})
	e.record.Add("%s runs %s of tenant %q, salt %q, weights %d, parts %s, fetch from %q", e.ID, id, account, salt, version, q.Header.Get("X-Prompt-Prefix"), q.Header.Get("X-Kv-Fetch"))
	var missing []Part
	tokens := 0
	for entry := range strings.SplitSeq(q.Header.Get("X-Prompt-Prefix"), ",") {
		name, size, _ := strings.Cut(entry, ":")
		n, _ := strconv.Atoi(size)
		kept, found := e.parts[salt+" "+name]
		if other, has := fetched[name]; has && !found && len(missing) == 0 {
			kept, found = other, true
			e.keep(other)
		}
		if found && len(missing) == 0 {
			e.uses = append(e.uses, Use{At: now, Request: id, Account: account, Version: version, Part: kept})
			e.record.Add("%s: %s uses part %s, which %s of tenant %q made at %s under weights %d", e.ID, id, name, kept.MadeBy, kept.Account, kept.MadeAt, kept.Version)
			continue
		}
		missing = append(missing, Part{ID: name, Salt: salt, Tokens: n, MadeBy: id, Account: account, Version: version, MadeAt: e.ID})
		tokens += n
	}
	e.mu.Unlock()
	time.Sleep(time.Duration(float64(tokens) / prefillRate * float64(time.Millisecond)))
	e.mu.Lock()
	for _, p := range missing {
		if e.version == version && e.epoch == epoch && !e.loading {
			e.keep(p)
		}
	}
	e.mu.Unlock()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Response-Stamp", "stamp-"+id)
	h.Set("X-Weight-Versions", strconv.Itoa(version))
	for i := 1; i <= 5; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(stepTime)
	}
}

// fetch returns the parts that another engine keeps under the salt.
func (e *Engine) fetch(address, salt string) map[string]Part {
	other, known := engines.Load(address)
	if !known {
		return nil
	}
	from := other.(*Engine)
	from.mu.Lock()
	defer from.mu.Unlock()
	out := map[string]Part{}
	for _, p := range from.parts {
		if p.Salt == salt && !from.down {
			out[p.ID] = p
		}
	}
	return out
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

func (e *Engine) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Op, Model, SwitchMode, Holder string
		Version, FencingToken         int
		Expect                        *int
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" || o.Op != "Version" || o.Model != e.Model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	carryOut := func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch {
		case o.FencingToken < e.fence && !e.IgnoresFences:
			return http.StatusPreconditionFailed
		case e.loading, o.Expect != nil && *o.Expect != e.accepted:
			return http.StatusConflict
		case o.Version == e.version:
			return http.StatusOK
		}
		e.fence, e.loading = o.FencingToken, true
		e.accepted++
		e.record.Add("%s takes weights %d on the order of %s, fencing token %d", e.ID, o.Version, o.Holder, o.FencingToken)
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			for _, p := range e.parts {
				e.tell("-", p)
			}
			e.parts, e.version, e.loading = map[string]Part{}, o.Version, false
			e.mu.Unlock()
			e.record.Add("%s has weights %d", e.ID, o.Version)
			e.beat()
		})
		return http.StatusAccepted
	}
	if e.LateOrder != nil {
		if late, unanswered := e.LateOrder(o.Version); unanswered {
			e.record.Add("%s leaves the order of weights %d unanswered and carries it out %v later", e.ID, o.Version, late)
			time.AfterFunc(late, func() {
				status := carryOut()
				e.record.Add("%s: the late order of weights %d gave %d", e.ID, o.Version, status)
			})
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status := carryOut()
	e.mu.Lock()
	e.orders = append(e.orders, Order{At: time.Now(), Holder: o.Holder, Token: o.FencingToken, Version: o.Version, Status: status})
	e.mu.Unlock()
	e.record.Add("%s: the order of weights %d by %s with fencing token %d gave %d", e.ID, o.Version, o.Holder, o.FencingToken, status)
	w.WriteHeader(status)
}

// Orders returns the orders that arrived and were answered.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// Crash ends the engine and starts it again under its id after a time: it knows nothing of
// before but its weights.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	e.down = true
	e.mu.Unlock()
	e.record.Add("%s crashes", e.ID)
	time.Sleep(down)
	e.mu.Lock()
	e.down = false
	e.born, e.beats, e.accepted, e.fence, e.loading = time.Now().UnixMilli(), 0, 0, 0, false
	e.epoch++
	e.parts, e.events, e.eventsAt = map[string]Part{}, nil, nil
	e.mu.Unlock()
	e.record.Add("%s has started again under its id, with weights %d", e.ID, e.Version())
	e.beat()
}
