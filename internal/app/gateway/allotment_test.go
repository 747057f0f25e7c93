package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"mimosaseam.example/mimosaseam/internal/adapter/peergrpc"
	"mimosaseam.example/mimosaseam/internal/app/allotments"
	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// stateTimeout bounds the wait for a state; it does not check latency.
	stateTimeout = 20 * time.Second
	// repeatPause is the pause of clients that come back at once.
	repeatPause = 2 * time.Millisecond
)

// allotted returns a configuration whose account "a" has an allotment.
func allotted(version int64, a gatewayconfig.Allotment) *gatewayconfig.Configuration {
	return configurationWith(version, []gatewayconfig.AccountDefinition{{Keys: []string{"key"},
		ClientAccount: gatewayconfig.ClientAccount{Name: "a", Allotment: a}}})
}

// withAllotment runs a test in a synctest bubble with a lone router whose buckets are full.
func withAllotment(t *testing.T, a gatewayconfig.Allotment, run func(t *testing.T, is *is.I, w *testGateway)) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		shared := allotments.New(allotments.Options{Self: "r0", Incarnation: 1, Limits: w.AllotmentLimit})
		w.Allotments = shared
		w.SetConfiguration(allotted(2, a))
		shared.RouterListed(true, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = shared.Run(ctx) }()
		<-time.After(20 * time.Second) // fake clock
		w.MarkVerified(time.Now())
		run(t, is.New(t), w)
		cancel()
		synctest.Wait()
	})
}

func failureKind(err error) Kind {
	if err == nil {
		return -1
	}
	return failureOf(err).Kind
}

// Guards against requests that are charged in the wrong unit, that reach a target although
// their account has nothing left, and against a refusal that does not tell when to come back.
func TestRequestsOverTheAllotmentAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		allotment gatewayconfig.Allotment
		route     string
		served    int
	}{
		"requests":    {gatewayconfig.Allotment{Rate: 1, Burst: 3}, "book", 3},
		"no burst":    {gatewayconfig.Allotment{Rate: 1}, "book", 1},
		"tokens":      {gatewayconfig.Allotment{Rate: 200, Burst: 2000, CountsTokens: true, DefaultTokens: 5}, "check", 2}, // of 910 tokens
		"plain":       {gatewayconfig.Allotment{Rate: 200, Burst: 2000, CountsTokens: true, DefaultTokens: 500}, "book", 4},
		"over burst":  {gatewayconfig.Allotment{Rate: 200, Burst: 900, CountsTokens: true}, "check", 0},
		"without one": {gatewayconfig.Allotment{}, "book", 5},
		"free":        {gatewayconfig.Allotment{Rate: 1, CountsTokens: true}, "book", 5},
	} {
		t.Run(name, func(t *testing.T) {
			withAllotment(t, c.allotment, func(t *testing.T, is *is.I, w *testGateway) {
				w.targets.react = func(string, port.Forward) reply {
					if c.route == "check" {
						return reply{status: http.StatusOK, body: event1}
					}
					return reply{status: http.StatusOK, body: "ok"}
				}
				for i := range 5 {
					begin := time.Now()
					_, err := w.send(t.Context(), c.route)
					if i < c.served {
						is.NoErr(err)
						continue
					}
					is.Equal(failureKind(err), KindOverAllotment)
					is.True(failureOf(err).RetryAfter > 0)
					is.True(time.Since(begin) <= 55*time.Millisecond) // a quarter of the objective
				}
				is.Equal(len(w.targets.sent()), c.served)
			})
		})
	}
}

// Guards against a request that did not run and costs its account something, and one that may
// have run and costs nothing.
func TestRequestsThatDidNotRunAreRefunded(t *testing.T) {
	withAllotment(t, gatewayconfig.Allotment{Rate: 0.1, Burst: 1}, func(t *testing.T, is *is.I, w *testGateway) {
		w.targets.react = func(string, port.Forward) reply {
			return reply{err: &port.NotRunError{Target: "d", Reason: port.NotRunOverloaded}}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := w.send(ctx, "book")
		is.Equal(failureKind(err), KindRefused)
		w.targets.react = func(string, port.Forward) reply {
			return reply{err: &port.UnknownOutcomeError{Peer: "d"}}
		}
		_, err = w.send(t.Context(), "book")
		is.Equal(failureKind(err), KindUnknown)
		_, err = w.send(t.Context(), "book")
		is.Equal(failureKind(err), KindOverAllotment)
	})
}

// Guards against a lowered limit that acts later than the configuration that lowers it, and
// against a limit that outlives its removal.
func TestChangedLimitsActWithTheConfiguration(t *testing.T) {
	withAllotment(t, gatewayconfig.Allotment{Rate: 100, Burst: 100}, func(t *testing.T, is *is.I, w *testGateway) {
		serve := func(n int) (served int) {
			for range n {
				if _, err := w.send(t.Context(), "book"); err == nil {
					served++
				}
			}
			return served
		}
		is.Equal(serve(10), 10)
		w.SetConfiguration(allotted(3, gatewayconfig.Allotment{Rate: 0.1, Burst: 2}))
		is.True(serve(50) <= 2)
		w.SetConfiguration(allotted(4, gatewayconfig.Allotment{}))
		is.Equal(serve(10), 10)
	})
}

// peerStub serves only the messages about allotments.
type peerStub struct {
	port.PeerHandler
	s *allotments.Service
}

func (p peerStub) HandleDraw(d allotment.Draw) (allotment.Answer, error) {
	return p.s.HandleDraw(d), nil
}

// peerRouter is a router with real connections to the others.
type peerRouter struct {
	*testGateway
	shared *allotments.Service
	server *grpc.Server
	member port.Member
}

// startPeers starts n routers that know each other.
func startPeers(t *testing.T, n int, a gatewayconfig.Allotment) []*peerRouter {
	t.Helper()
	var all []*peerRouter
	for i := range n {
		client := peergrpc.NewClient(nil)
		t.Cleanup(client.Close)
		w := newTestGateway(t)
		name := fmt.Sprintf("r%d", i)
		w.Settings.KeyRevocationBound = 0
		w.SetSettings(w.Settings)
		w.SetConfiguration(allotted(2, a))
		s := allotments.New(allotments.Options{Self: name, Incarnation: uint64(i + 1), Peer: client, Limits: w.AllotmentLimit})
		w.Allotments = s
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r := &peerRouter{testGateway: w, shared: s, server: peergrpc.NewServer(peerStub{s: s}, nil, w.Log),
			member: port.Member{Name: name, Address: listener.Addr().String()}}
		go func() { _ = r.server.Serve(listener) }() // ends with Stop
		t.Cleanup(r.server.Stop)
		all = append(all, r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	for _, r := range all {
		r.know(all, nil)
		r.shared.RouterListed(true, n)
		loops.Go(func() { _ = r.shared.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		loops.Wait()
	})
	return all
}

// know tells the router of the others, of which one may be out of contact.
func (r *peerRouter) know(all []*peerRouter, gone *peerRouter) {
	var others []membership.Router
	for _, o := range all {
		if o != r {
			m := membership.Router{Member: o.member, Listed: true}
			if o == gone {
				m.State = port.MemberDead
			}
			others = append(others, m)
		}
	}
	r.shared.SetRouters(others)
}

// awaitServed sends requests until one is served.
func (r *peerRouter) awaitServed(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), stateTimeout)
	defer cancel()
	for {
		_, err := r.send(ctx, "book")
		if err == nil {
			return
		}
		if failureKind(err) != KindOverAllotment || ctxtime.Sleep(ctx, repeatPause) != nil {
			t.Fatal("not served: ", err)
		}
	}
}

// flood sends requests to the routers without a pause, and returns how many were served and
// for how long it did so.
func flood(t *testing.T, d time.Duration, routers ...*peerRouter) (served int, took time.Duration) {
	t.Helper()
	var mu sync.Mutex
	var clients sync.WaitGroup
	begin := time.Now()
	for _, r := range routers {
		for range 4 {
			clients.Go(func() {
				for time.Since(begin) < d {
					_, err := r.send(t.Context(), "book")
					var refused *allotments.RefusedError
					mu.Lock()
					switch {
					case err == nil:
						served++
					case failureKind(err) != KindOverAllotment || failureOf(err).RetryAfter <= 0 || !errors.As(err, &refused):
						t.Error(err)
					}
					mu.Unlock()
					if err != nil {
						_ = ctxtime.Sleep(t.Context(), repeatPause)
					}
				}
			})
		}
	}
	clients.Wait()
	return served, time.Since(begin)
}

// Guards against routers that spend more than one allotment together over real connections,
// and against one that serves nothing.
func TestRoutersShareAnAllotment(t *testing.T) {
	limit := gatewayconfig.Allotment{Rate: 40, Burst: 10}
	bound := func(took time.Duration) float64 {
		return limit.Rate*(took+allotment.Settings{}.Validity()).Seconds() + limit.Burst
	}
	for _, n := range []int{2, 3} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			all := startPeers(t, n, limit)
			for _, r := range all {
				r.awaitServed(t)
			}
			served, took := flood(t, 2*time.Second, all...)
			t.Logf("%d of %.0f in %v", served, bound(took), took)
			is.True(float64(served) <= bound(took))
			is.True(served > 0)
			for _, r := range all {
				r.awaitServed(t)
			}
		})
	}
	t.Run("allocator gone", func(t *testing.T) {
		is := is.New(t)
		all := startPeers(t, 3, limit)
		for _, r := range all {
			r.awaitServed(t)
		}
		var gone *peerRouter
		var rest []*peerRouter
		for _, r := range all {
			if r.shared.Attached() > 1 && gone == nil {
				gone = r
			} else {
				rest = append(rest, r)
			}
		}
		is.True(gone != nil)
		gone.server.Stop()
		for _, r := range rest {
			r.know(all, gone)
		}
		served, took := flood(t, 2*time.Second, rest...)
		t.Logf("%d of %.0f in %v", served, bound(took), took)
		is.True(float64(served) <= bound(took))
		for _, r := range rest {
			r.awaitServed(t)
		}
	})
}
