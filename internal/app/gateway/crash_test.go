package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	crashAfter      = 40 * time.Millisecond
	crashedFor      = 3 * time.Second
	entryExpires    = 2700 * time.Millisecond
	entryAppears    = 800 * time.Millisecond
	stabilityWindow = 4 * time.Second
	crashDay        = 40 * time.Second
	// lastOfSegment is the crash after which a deadly segment may be sent three times more.
	lastOfSegment = 5
)

// crashingTarget is a target that ends under requests with a deadly body.
type crashingTarget struct {
	id, address, service string
	starts               int
	up                   bool
	ended                chan struct{}
}

// crashWorld is a set of routers and the targets that they share.
type crashWorld struct {
	// silent targets end without a reset; those with sameID come back under their id.
	silent, sameID bool
	// answers holds replies to deadly requests that end no target, by the number of the
	// arrival.
	answers map[int]reply

	routers []*testGateway

	mu      sync.Mutex
	targets map[string]*crashingTarget
	// arrivals, crashes and late count by the name of the deadly request or segment. Late is an
	// arrival more than stabilityWindow after the crash with the number last.
	arrivals, crashes, late map[string]int
	last                    int
	lastAt                  map[string]time.Time
	// ends holds the times of all crashes.
	ends []time.Time
}

func newCrashWorld(t *testing.T, routers, perService int) *crashWorld {
	w := &crashWorld{targets: map[string]*crashingTarget{}, arrivals: map[string]int{}, crashes: map[string]int{}, late: map[string]int{}, last: 3, lastAt: map[string]time.Time{}}
	for range routers {
		w.routers = append(w.routers, newTestGateway(t))
	}
	for _, entry := range w.routers[0].Directory.All() {
		if entry.ID[1:] > fmt.Sprint(perService) {
			continue
		}
		w.targets[entry.Address] = &crashingTarget{id: entry.ID, address: entry.Address, service: entry.Service, up: true, ended: make(chan struct{})}
	}
	for i, r := range w.routers {
		r.Forwarder, r.Control = w, w
		for _, entry := range r.Directory.All() {
			if w.targets[entry.Address] == nil {
				r.Directory.Remove(entry.ID)
			}
		}
		connectTrackers(w.routers, i)
	}
	time.Sleep(crashedFor) // removed targets may be used for a while
	return w
}

// connectTrackers sends the reports of a router to all others.
func connectTrackers(routers []*testGateway, from int) {
	send := func(value string) {
		for i, r := range routers {
			if i != from {
				time.AfterFunc(30*time.Millisecond, func() {
					r.CrashTracker.Receive(time.Now(), []port.Fingerprint{{Value: value}})
					r.SegmentTracker.Receive(time.Now(), []port.Fingerprint{{Value: value}})
				})
			}
		}
	}
	routers[from].CrashTracker.SetReport(send)
	routers[from].SegmentTracker.SetReport(send)
}

func isDeadly(body string) bool { return strings.HasPrefix(body, "deadly") }

// deadlyName returns what is deadly in a request: the whole, or the segment before the dash.
func deadlyName(body string) string {
	name, _, _ := strings.Cut(body, "-")
	return name
}

func (w *crashWorld) arrive(address string, a port.Forward) (ended chan struct{}, answer reply, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, body := w.targets[address], deadlyName(string(a.Body))
	if !t.up {
		return nil, reply{}, &port.NotRunError{Target: address, Reason: port.NotRunUnreachable, Cause: syscall.ECONNREFUSED}
	}
	if a.ExpectTarget != t.id {
		return nil, reply{}, &port.NotRunError{Target: address, Reason: port.NotRunIncarnationChanged}
	}
	answer = reply{status: http.StatusOK, body: event1}
	if isDeadly(body) {
		w.arrivals[body]++
		if at := w.lastAt[body]; !at.IsZero() && time.Since(at) > stabilityWindow {
			w.late[body]++
		}
		if own, set := w.answers[w.arrivals[body]]; set {
			return t.ended, own, nil
		}
		starts := t.starts
		time.AfterFunc(crashAfter, func() { w.end(t, starts, body) })
	}
	return t.ended, answer, nil
}

// end ends the target unless it has already ended.
func (w *crashWorld) end(t *crashingTarget, starts int, body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !t.up || t.starts != starts {
		return
	}
	t.up = false
	close(t.ended)
	w.ends = append(w.ends, time.Now())
	if w.crashes[body]++; w.crashes[body] == w.last {
		w.lastAt[body] = time.Now()
	}
	id := t.id
	time.AfterFunc(entryExpires, func() { w.removeEntry(id) })
	time.AfterFunc(crashedFor, func() { w.restart(t) })
}

func (w *crashWorld) removeEntry(id string) {
	for _, r := range w.routers {
		r.Directory.Remove(id)
	}
}

func (w *crashWorld) restart(t *crashingTarget) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.up, t.ended = true, make(chan struct{})
	if t.starts++; !w.sameID {
		t.id = fmt.Sprint(t.address, "-", t.starts)
	}
	entry := port.TargetEntry{ID: t.id, Service: t.service, Address: t.address, Slots: 8, Weights: map[string]int{testModel: 1}, StartedAt: time.Now()}
	time.AfterFunc(entryAppears, func() {
		for _, r := range w.routers {
			r.Directory.Put(entry)
		}
	})
}

func (w *crashWorld) Forward(ctx context.Context, address string, a port.Forward) (port.ForwardResponse, error) {
	ended, answer, err := w.arrive(address, a)
	if errors.Is(err, syscall.ECONNREFUSED) && w.silent {
		<-ctx.Done()
		return port.ForwardResponse{}, &port.NotRunError{Target: address, Reason: port.NotRunUnreachable, Cause: ctx.Err()}
	}
	if err != nil {
		return port.ForwardResponse{}, err
	}
	work := 15 * time.Millisecond
	if isDeadly(string(a.Body)) {
		work = 2 * crashAfter
	}
	cause := io.EOF
	select {
	case <-time.After(work):
		return port.ForwardResponse{Status: answer.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(answer.body)), Length: -1}, nil
	case <-ended:
		if w.silent {
			<-ctx.Done()
			cause = ctx.Err()
		}
	case <-ctx.Done():
		cause = ctx.Err()
	}
	return port.ForwardResponse{}, &port.UnknownOutcomeError{Peer: address, Cause: cause}
}

func (w *crashWorld) Order(context.Context, string, port.WeightsOrder) error { return nil }

func (w *crashWorld) Status(ctx context.Context, address, id string) (port.TargetStatus, error) {
	w.mu.Lock()
	t := *w.targets[address]
	w.mu.Unlock()
	switch {
	case !t.up && w.silent:
		<-ctx.Done()
		return port.TargetStatus{}, &port.UnknownOutcomeError{Peer: address, Cause: ctx.Err()}
	case !t.up:
		return port.TargetStatus{}, &port.NotRunError{Target: address, Reason: port.NotRunUnreachable, Cause: syscall.ECONNREFUSED}
	case t.id != id:
		return port.TargetStatus{}, &port.NotRunError{Target: address, Reason: port.NotRunIncarnationChanged}
	}
	return port.TargetStatus{}, nil
}

// serve sends a request with the body by the next router in turn.
func (w *crashWorld) serve(ctx context.Context, n int, route, body string) error {
	r := &Request{ID: fmt.Sprint("r", n), Method: http.MethodPost, URI: "/" + route + "/x", Path: "/" + route + "/x", Host: "h", Header: http.Header{},
		Key: "key", Body: []byte(body), Received: time.Now(), ClientTimeout: 800 * time.Millisecond}
	if route == "check" || route == "brief" {
		r.Model, r.PromptTokens, r.MaxOutputTokens = testModel, 900, 10
		r.Prompt = []port.Segment{{ID: "a", Tokens: 600}, {ID: deadlyName(body), Tokens: 100}, {ID: "own" + body, Tokens: 200}}
	}
	return w.routers[n%len(w.routers)].Serve(ctx, r, &recorder{})
}

// day sends each deadly body every 300 ms, and between them requests of one body that is
// always the same and of bodies that are all different. It returns the failures of each deadly
// body's last request and the share of the others that was served in the last quarter.
func (w *crashWorld) day(t *testing.T, route string, deadly []string) (last map[string]error, served float64) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	last = map[string]error{}
	sent, succeeded := 0, 0
	start := time.Now()
	for n := 0; time.Since(start) < crashDay; n++ {
		for _, r := range w.routers {
			r.MarkVerified(r.BootClock.Now())
		}
		counted := time.Since(start) >= crashDay*3/4
		bodies := []string{"often", fmt.Sprint("once", n)}
		if n%3 == 0 {
			bodies = append(bodies, deadly...)
		}
		for i, body := range bodies {
			if isDeadly(body) && w.last == lastOfSegment {
				body += fmt.Sprint("-", n)
			}
			wait.Go(func() {
				err := w.serve(t.Context(), 7*n+i, route, body)
				mu.Lock()
				defer mu.Unlock()
				if isDeadly(body) {
					last[deadlyName(body)] = err
				} else if counted {
					if sent++; err == nil {
						succeeded++
					}
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	return last, float64(succeeded) / float64(sent)
}

// Guards against a request that goes on being sent after it has crashed three targets, and
// against refusing the requests that ran beside it.
func TestRequestThatCrashesTargetsIsNoLongerSent(t *testing.T) {
	type world struct {
		routers, targets int
		silent, sameID   bool
		answers          map[int]reply
		deadly           []string
	}
	worlds := map[string]world{
		"one router":              {routers: 1, targets: 3},
		"other routers saw it":    {routers: 3, targets: 3},
		"one target":              {routers: 3, targets: 1},
		"ends without a reset":    {routers: 3, targets: 3, silent: true},
		"same id":                 {routers: 3, targets: 3, sameID: true},
		"same id, no reset":       {routers: 3, targets: 3, sameID: true, silent: true},
		"two requests":            {routers: 3, targets: 3, deadly: []string{"deadly1", "deadly2"}},
		"answered once":           {routers: 3, targets: 3, answers: map[int]reply{3: {status: http.StatusOK, body: event1}}},
		"failed with a status":    {routers: 3, targets: 3, answers: map[int]reply{3: {status: http.StatusInternalServerError}, 6: {status: http.StatusInternalServerError}}},
		"two requests, no resets": {routers: 3, targets: 3, silent: true, deadly: []string{"deadly1", "deadly2"}},
	}
	for name, c := range worlds {
		for _, route := range []string{"book", "look", "check", "brief"} {
			t.Run(name+", "+route, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newCrashWorld(t, c.routers, c.targets)
					w.silent, w.sameID, w.answers = c.silent, c.sameID, c.answers
					deadly := c.deadly
					if deadly == nil {
						deadly = []string{"deadly"}
					}
					last, served := w.day(t, route, deadly)
					for _, body := range deadly {
						is.True(w.late[body] <= 3) // arrivals in spite of three crashes
						is.Equal(failureOf(last[body]).Kind, KindCrashesTargets)
					}
					is.True(served >= 0.99)
				})
			})
		}
	}
}

// Guards against a prompt segment that goes on being sent after it has crashed five targets,
// though their ends are known only from their entries.
func TestSegmentThatCrashesTargetsIsNoLongerSent(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for _, sameID := range []bool{false, true} {
			for _, route := range []string{"check", "brief"} {
				t.Run(fmt.Sprint(route, ", silent ", silent, ", same id ", sameID), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						w := newCrashWorld(t, 3, 3)
						w.silent, w.sameID, w.last = silent, sameID, lastOfSegment
						last, served := w.day(t, route, []string{"deadly"})
						is.True(w.late["deadly"] <= 3)
						is.Equal(failureOf(last["deadly"]).Kind, KindCrashesTargets)
						is.True(served >= 0.99)
					})
				})
			}
		}
	}
}
