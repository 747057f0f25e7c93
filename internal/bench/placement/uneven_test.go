package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	core "mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/workload"
)

// withoutSpeeds is the production policy that ignores what engines report of their slowness.
type withoutSpeeds struct{ core.Placer }

func (withoutSpeeds) ObserveResponse(time.Time, string, workload.Report) {}

// uneven returns a workload with engines of 0.7, 1 and 1.7 whose prefill times change often.
func uneven() Workload {
	w := DefaultWorkload()
	w.Requests, w.Runners, w.CrashEveryS, w.Routers = 4000, 12, 0, 12
	w.Levels = []Level{{1000, 4}, {4096, 60}, {300, 600}}
	w.RequestsPerSecond, w.CacheBlocksPerRunner = 60, 1500
	w.Speeds, w.SlownessSpread = []float64{0.7, 1, 1.7}, 0.4
	return w
}

// firstTokenObjective is that of the busier routes.
const firstTokenObjective = 600 * time.Millisecond

type unevenTotal struct{ late, wasted, prefill, p99, ratio float64 }

func (s *unevenTotal) add(d *driver, r Result) {
	for _, ttft := range d.metrics.ttft {
		if ttft > firstTokenObjective {
			s.late++
		}
	}
	s.late += float64(r.Refused + r.Failed)
	s.wasted, s.prefill = s.wasted+float64(r.WastedTokens), s.prefill+float64(r.PrefillTokens)
	s.p99, s.ratio = s.p99+r.TTFTp99Ms/unevenSeeds, s.ratio+r.SlowestToFastestP99/unevenSeeds
}

const unevenSeeds = 3

// maxMorePrefill bounds the tokens that may be read more than by a choice that takes the engines
// for equal: each costs engine time that other requests lack.
const maxMorePrefill = 1.05

// Guards against a choice between engines of different speed that reads notably more tokens
// than one that takes them for equal, serves fewer requests in time, or leaves the slowest third
// of the engines later than the fastest by more than 1.3 at p99.
func TestUnevenEngines(t *testing.T) {
	shapes := []struct {
		name   string
		change func(*Workload)
	}{
		{"usual load", func(*Workload) {}},
		{"high load", func(w *Workload) { w.RequestsPerSecond = 90 }},
	}
	for _, shape := range shapes {
		t.Run(shape.name, func(t *testing.T) {
			is := is.New(t)
			var least, before, now unevenTotal
			for seed := uint64(1); seed <= unevenSeeds; seed++ {
				w := uneven()
				shape.change(&w)
				all, product := arrivals(w, seed), placerFactory(w, "mimosaseam")
				for sum, f := range map[*unevenTotal]func(uint64, string) core.Placer{
					&least: placerFactory(w, "least-loaded"), &now: product,
					&before: func(s uint64, region string) core.Placer { return withoutSpeeds{product(s, region)} },
				} {
					d := newDriver(w, options{seed: seed, newPlacer: f})
					sum.add(d, d.run(all))
				}
			}
			for name, s := range map[string]unevenTotal{"least loaded": least, "as equal": before, "product": now} {
				t.Logf("%-12s over 600 ms %.0f, read again %.0f of %.0f tokens, p99 %.0f ms, slowest to fastest %.2f", name, s.late, s.wasted, s.prefill, s.p99, s.ratio)
			}
			is.True(now.prefill <= maxMorePrefill*before.prefill)
			is.True(now.late <= before.late)
			is.True(now.late < least.late && now.wasted < least.wasted)
			is.True(now.ratio <= 1.3)
		})
	}
}
