package allotments

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	testKey = allotment.Key("a")
	// latency is the one-way delay of the fake network.
	latency = 6 * time.Millisecond
)

// network connects services without sockets, inside a synctest bubble.
type network struct {
	t        *testing.T
	limit    allotment.Limit
	services []*Service
	stop     []context.CancelFunc
	loops    sync.WaitGroup

	mu    sync.Mutex
	down  map[string]bool
	calls int
	// disabled is set while no account has a limit.
	disabled bool
}

// start starts n routers that were listed before and know each other.
func start(t *testing.T, n int, limit allotment.Limit) *network {
	w := &network{t: t, limit: limit, down: map[string]bool{}}
	for i := range n {
		w.services = append(w.services, New(Options{Self: name(i), Incarnation: uint64(i + 1), Peer: link{w, name(i)},
			Enabled: w.enabled,
			Limits:  func(key allotment.Key) (allotment.Limit, bool) { return limit, key == testKey }}))
	}
	for i, s := range w.services {
		w.announce(i, n)
		s.RouterListed(true, n)
		ctx, cancel := context.WithCancel(t.Context())
		w.stop = append(w.stop, cancel)
		w.loops.Go(func() { _ = s.Run(ctx) })
	}
	return w
}

func name(i int) string { return fmt.Sprintf("r%d", i) }

// announce tells router i the states of the others of the first n.
func (w *network) announce(i, n int) {
	var others []membership.Router
	for j := range n {
		if j != i {
			r := membership.Router{Member: port.Member{Name: name(j), Address: name(j)}, Listed: true}
			if w.isDown(name(j)) {
				r.State = port.MemberDead
			}
			others = append(others, r)
		}
	}
	w.services[i].SetRouters(others)
}

func (w *network) isDown(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down[name]
}

// kill ends a router, which the others notice.
func (w *network) kill(i int) {
	w.stop[i]()
	w.mu.Lock()
	w.down[name(i)] = true
	w.mu.Unlock()
	for j := range w.services {
		w.announce(j, len(w.services))
	}
}

func (w *network) close() {
	for _, stop := range w.stop {
		stop()
	}
	w.loops.Wait()
	<-time.After(time.Second) // messages in flight end
	synctest.Wait()
}

func (w *network) setEnabled(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disabled = !on
}

func (w *network) enabled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.disabled
}

func (w *network) sent() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// link implements port.DrawPeer.
type link struct {
	w    *network
	from string
}

func (l link) Draw(ctx context.Context, address string, d allotment.Draw) (allotment.Answer, error) {
	l.w.mu.Lock()
	l.w.calls++
	l.w.mu.Unlock()
	if l.w.isDown(address) || l.w.isDown(l.from) {
		return allotment.Answer{}, &port.UnavailableError{Peer: address}
	}
	<-time.After(2 * latency)
	for i, s := range l.w.services {
		if name(i) == address {
			return s.HandleDraw(d), ctx.Err()
		}
	}
	return allotment.Answer{}, &port.UnavailableError{Peer: address}
}

// load sends requests of one token to the routers with the given rates for a time and returns
// how many were served.
func (w *network) load(d time.Duration, perSecond ...float64) int {
	var mu sync.Mutex
	served := 0
	var clients sync.WaitGroup
	for i, rate := range perSecond {
		if rate <= 0 {
			continue
		}
		clients.Go(func() {
			tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
			defer tick.Stop()
			for end := time.Now().Add(d); time.Now().Before(end); <-tick.C {
				clients.Go(func() {
					if _, err := w.services[i].Acquire(w.t.Context(), testKey, w.limit, 1, 0); err == nil {
						mu.Lock()
						served++
						mu.Unlock()
					}
				})
			}
		})
	}
	clients.Wait()
	return served
}
