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

// samples is a ring of the latest durations.
type samples struct {
	latest []time.Duration
	next   int
}

// NewDurations returns predictions without samples.
func NewDurations() *Durations { return &Durations{routes: map[string]*samples{}} }

// Observe records that a request of the route ran for a time and ended well.
func (d *Durations) Observe(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.routes[route]
	if s == nil {
		if len(d.routes) >= maxRoutes {
			clear(d.routes) // configurations have replaced most of them
		}
		s = &samples{}
		d.routes[route] = s
	}
	if len(s.latest) < durationSamples {
		s.latest = append(s.latest, took)
		return
	}
	s.latest[s.next] = took
	s.next = (s.next + 1) % durationSamples
}

// Expected returns how long a request of the route is expected to run; 0: unknown.
func (d *Durations) Expected(route string) time.Duration {
	d.mu.Lock()
	s := d.routes[route]
	if s == nil || len(s.latest) < minDurationSamples {
		d.mu.Unlock()
		return 0
	}
	sorted := slices.Clone(s.latest)
	d.mu.Unlock()
	slices.Sort(sorted)
	return max(1, sorted[int(predictedShare*float64(len(sorted)-1))])
}
