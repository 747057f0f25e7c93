package shutdown

import (
	"slices"
	"sync"
	"time"
)

const (
	// durationSamples is the number of latest requests of a route that count.
	durationSamples = 128
	// minDurationSamples is the number from which on they predict the next one.
	minDurationSamples = 20
	// predictedShare is the share of a route's requests that end within the predicted
	// duration. The slowest ones would turn away all others for most of a stop.
	predictedShare = 0.9
	// maxRoutes bounds the memory.
	maxRoutes = 4096
)

// Durations predicts how long the requests of a route run. It is safe for concurrent use.
type Durations struct {
	mu     sync.Mutex
	routes map[string]*samples
}

// samples holds the latest durations of a route, as a ring, and its open requests.
type samples struct {
	latest []time.Duration
	next   int
	open   map[*Running]struct{}
}

// Running is one request that runs.
type Running struct {
	route   *samples
	started time.Time
}

// NewDurations returns predictions without samples.
func NewDurations() *Durations { return &Durations{routes: map[string]*samples{}} }

// Start records that a request of the route begins to run. End must be called.
func (d *Durations) Start(route string, now time.Time) *Running {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.routes[route]
	if s == nil {
		if len(d.routes) >= maxRoutes {
			clear(d.routes) // configurations have replaced most of them
		}
		s = &samples{open: map[*Running]struct{}{}}
		d.routes[route] = s
	}
	r := &Running{route: s, started: now}
	s.open[r] = struct{}{}
	return r
}

// End records that the request has ended. Only the durations of successful ones count.
func (d *Durations) End(r *Running, now time.Time, success bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := r.route
	delete(s.open, r)
	if !success {
		return
	}
	took := now.Sub(r.started)
	if len(s.latest) < durationSamples {
		s.latest = append(s.latest, took)
		return
	}
	s.latest[s.next] = took
	s.next = (s.next + 1) % durationSamples
}

// Expected returns how long a request of the route is expected to run; 0: unknown. Open
// requests count as long as they have run: those of a young router that have ended are the
// short ones.
func (d *Durations) Expected(route string, now time.Time) time.Duration {
	d.mu.Lock()
	s := d.routes[route]
	if s == nil || len(s.latest) < minDurationSamples {
		d.mu.Unlock()
		return 0
	}
	sorted := slices.Clone(s.latest)
	for r := range s.open {
		sorted = append(sorted, now.Sub(r.started))
	}
	d.mu.Unlock()
	slices.Sort(sorted)
	return max(1, sorted[int(predictedShare*float64(len(sorted)-1))])
}
