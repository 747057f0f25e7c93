package telemetry

import (
	"expvar"
	"strconv"
	"sync"
	"time"
)

// bucketBoundsMs are the upper bounds of the duration buckets, in ms.
var bucketBoundsMs = []int64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000, 60_000}

// Metrics publishes counters and duration histograms through expvar.
type Metrics struct {
	counters *expvar.Map

	mu         sync.Mutex
	histograms *expvar.Map
	known      map[string]*histogram
}

// NewMetrics returns metrics published under the given expvar names. A process may
// publish each name only once.
func NewMetrics(countersName, histogramsName string) *Metrics {
	return &Metrics{
		counters:   expvar.NewMap(countersName),
		histograms: expvar.NewMap(histogramsName),
		known:      map[string]*histogram{},
	}
}

// Add adds to a counter.
func (m *Metrics) Add(name string, delta int64) { m.counters.Add(name, delta) }

// Observe records a duration in the histogram of that name.
func (m *Metrics) Observe(name string, d time.Duration) {
	m.mu.Lock()
	h, ok := m.known[name]
	if !ok {
		h = newHistogram()
		m.known[name] = h
		m.histograms.Set(name, h.vars)
	}
	m.mu.Unlock()
	h.observe(d)
}

// histogram holds the count and sum of durations and cumulative buckets: a bucket
// counts all durations up to its upper bound.
type histogram struct {
	vars    *expvar.Map
	count   expvar.Int
	sumMs   expvar.Float
	buckets []expvar.Int
}

func newHistogram() *histogram {
	h := &histogram{vars: new(expvar.Map), buckets: make([]expvar.Int, len(bucketBoundsMs))}
	h.vars.Set("count", &h.count)
	h.vars.Set("sum_ms", &h.sumMs)
	for i, bound := range bucketBoundsMs {
		h.vars.Set("le_ms_"+strconv.FormatInt(bound, 10), &h.buckets[i])
	}
	return h
}

func (h *histogram) observe(d time.Duration) {
	h.count.Add(1)
	h.sumMs.Add(float64(d) / float64(time.Millisecond))
	for i, bound := range bucketBoundsMs {
		if d <= time.Duration(bound)*time.Millisecond {
			h.buckets[i].Add(1)
		}
	}
}
