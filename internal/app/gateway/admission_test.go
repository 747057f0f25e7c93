package gateway

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

// countingMetrics counts events by name.
type countingMetrics struct {
	noMetrics
	mu     sync.Mutex
	counts map[string]int64
}

func (m *countingMetrics) Add(name string, delta int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[name] += delta
}

// Guards against refusals that cannot be traced to their reason, clients that gain by repeating
// at once, and requests that wait for a full service in vain.
func TestRefusalsAreImmediateCountedAndLogged(t *testing.T) {
	full := func(string, port.Forward) reply {
		return reply{err: &port.NotRunError{Reason: port.NotRunOverloaded, Load: &port.LoadReport{Running: 6, Waiting: 12, Slots: 6}}}
	}
	cases := map[string]struct {
		route  string
		counts map[string]int64
		logged string
	}{
		"engines": {"check", map[string]int64{"not_admitted_deadline": 1, "not_admitted_deadline_early": 1}, "why=deadline_early"},
		"plain":   {"book", map[string]int64{"not_admitted_full": 2}, "why=full"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t)
				metrics, lines := &countingMetrics{counts: map[string]int64{}}, &bytes.Buffer{}
				w.Metrics, w.Log = metrics, slog.New(slog.NewTextHandler(lines, nil))
				w.targets.react = full
				for _, id := range []string{"e1", "e2", "e3"} {
					w.Placer.(*placement.Policy).ObservePeerRequest(w.Clock.Now(), "llm-"+id, 20*placement.DefaultPrefillTokensPerSecond, placement.DefaultPrefillTokensPerSecond)
				}
				start := time.Now()
				for range 2 {
					_, err := w.send(t.Context(), c.route)
					is.Equal(failureOf(err).Kind, KindRefused)
					is.True(failureOf(err).RetryAfter > 0)
				}
				// The second plain request waits for the targets that have refused the first; the queue
				// is looked at as often as twice the interval of choose.
				is.True(time.Since(start) <= busyBackoff+2*targetPollInterval)
				for name, n := range c.counts {
					is.Equal(metrics.counts[name], n)
				}
				is.True(strings.Contains(lines.String(), c.logged))
			})
		})
	}
}

// Guards against requests that wait for a rate or a circuit as if the service was full.
func TestOnlyRefusalsMakeAServiceFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t)
		x := &exchange{g: w.Gateway, service: "desk"}
		for _, id := range []string{"d1", "d2"} {
			w.circuits.SetBusy(id, w.Clock.Now().Add(busyBackoff))
		}
		is.Equal(x.busy(w.Clock.Now()).wait, time.Duration(0)) // d3 has room
		w.circuits.SetBusy("d3", w.Clock.Now().Add(busyBackoff/2))
		is.Equal(x.busy(w.Clock.Now()).wait, busyBackoff/2)
		w.Directory.SetPaused("d3", w.Clock.Now().Add(time.Second))
		is.Equal(x.busy(w.Clock.Now()).wait, busyBackoff)
	})
}
