package placement

import (
	"math"
	"slices"
	"time"

	core "mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/placement/baseline"
)

// Result holds the figures of one policy.
type Result struct {
	Policy    string `json:"policy"`
	Seed      uint64 `json:"seed"`
	Requests  int    `json:"requests"`
	Completed int    `json:"completed"`
	// Refused requests did not run. Failed ones were lost in two crashes, or in
	// one after which no target remained.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// PrefixHitRate is the share of prompt tokens found in the cache.
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	TTFTp50Ms     float64 `json:"ttft_p50_ms"`
	TTFTp95Ms     float64 `json:"ttft_p95_ms"`
	TTFTp99Ms     float64 `json:"ttft_p99_ms"`
	// SlowestToFastestP99 is the 99th percentile on the slowest runners divided by that on the
	// fastest, 0 when all are equal.
	SlowestToFastestP99 float64 `json:"slowest_to_fastest_p99,omitempty"`
	PrefillTokens       int64   `json:"prefill_tokens"`
	// CompulsoryTokens counts tokens computed for the first time per prefix,
	// account and weights version; WastedTokens counts all others.
	CompulsoryTokens          int64   `json:"compulsory_tokens"`
	WastedTokens              int64   `json:"wasted_tokens"`
	CrossRegionBytes          int64   `json:"cross_region_bytes"`
	ControlBytesPerRouterPerS float64 `json:"control_bytes_per_router_per_s"`
	// HitRateBefore and HitRateAfter are the hit rates of the 1000 requests before
	// and the 200 after the restart of all routers; they are set only for that run.
	HitRateBefore float64 `json:"hit_rate_before_restart,omitempty"`
	HitRateAfter  float64 `json:"hit_rate_after_restart,omitempty"`
	// HitRateWithoutRestart is the hit rate of the same 200 requests without a restart.
	HitRateWithoutRestart float64 `json:"hit_rate_without_restart,omitempty"`
}

// metrics collects the measurements of a run.
type metrics struct {
	completed, refused, failed int
	ttft                       []time.Duration
	// byFactor holds the times to the first token by the factor of the runner.
	byFactor            map[float64][]time.Duration
	prompt, cached      int64
	prefill, compulsory int64
	lost                float64
	crossRegionBytes    int64
	// hits holds cached and prompt tokens by arrival, for the restart comparison.
	hits [][2]int
}

// countPrefill accounts for a completed prefill.
func (d *driver) countPrefill(j *job) {
	prompt := j.req.a.prompt
	d.metrics.prompt += int64(prompt)
	d.metrics.cached += int64(j.cached)
	d.metrics.prefill += int64(prompt - j.cached)
	if d.metrics.hits == nil {
		d.metrics.hits = make([][2]int, d.w.Requests)
	}
	d.metrics.hits[j.req.a.id] = [2]int{j.cached, prompt}
	// The last token is computed even if all whole blocks are cached.
	whole := len(j.blocks) * d.w.BlockTokens
	if !j.req.tailCounted {
		j.req.tailCounted = true
		d.metrics.compulsory += int64(max(prompt-whole, min(1, prompt-j.cached)))
	}
	for i := j.cached / d.w.BlockTokens; i < len(j.blocks); i++ {
		if !d.computed[j.blocks[i]] {
			d.computed[j.blocks[i]] = true
			d.metrics.compulsory += int64(d.w.BlockTokens)
		}
	}
}

// countLost accounts for a prefill that a crash interrupted.
func (d *driver) countLost(j *job) { d.metrics.lost += float64(j.req.a.prompt-j.cached) - j.remaining }

func (d *driver) result() Result {
	r := Result{Policy: d.opt.policy, Seed: d.opt.seed, Requests: d.w.Requests,
		Completed: d.metrics.completed, Refused: d.metrics.refused, Failed: d.metrics.failed,
		PrefillTokens: d.metrics.prefill + int64(d.metrics.lost), CompulsoryTokens: d.metrics.compulsory, CrossRegionBytes: d.metrics.crossRegionBytes}
	r.WastedTokens = r.PrefillTokens - r.CompulsoryTokens
	if d.metrics.prompt > 0 {
		r.PrefixHitRate = round(float64(d.metrics.cached)/float64(d.metrics.prompt), 4)
	}
	slices.Sort(d.metrics.ttft)
	r.TTFTp50Ms, r.TTFTp95Ms, r.TTFTp99Ms = percentile(d.metrics.ttft, 50), percentile(d.metrics.ttft, 95), percentile(d.metrics.ttft, 99)
	r.SlowestToFastestP99 = d.slowestToFastest()
	bytes := 0.0
	for _, x := range d.routers {
		bytes += x.bytes
	}
	if d.now > 0 {
		r.ControlBytesPerRouterPerS = round(bytes/float64(len(d.routers))/d.now.Seconds(), 1)
	}
	return r
}

// percentile of sorted times in ms.
func percentile(sorted []time.Duration, p int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := (len(sorted)*p + 99) / 100
	return round(float64(sorted[max(0, at-1)])/float64(time.Millisecond), 2)
}

func (d *driver) slowestToFastest() float64 {
	if len(d.metrics.byFactor) < 2 {
		return 0
	}
	factors := sortedKeys(d.metrics.byFactor)
	fastest, slowest := d.metrics.byFactor[factors[0]], d.metrics.byFactor[factors[len(factors)-1]]
	slices.Sort(fastest)
	slices.Sort(slowest)
	return round(percentile(slowest, 99)/percentile(fastest, 99), 3)
}

func (m *metrics) hitRate(from, to int) float64 {
	cached, prompt := 0, 0
	for _, h := range m.hits[max(0, from):min(to, len(m.hits))] {
		cached += h[0]
		prompt += h[1]
	}
	if prompt == 0 {
		return 0
	}
	return round(float64(cached)/float64(prompt), 4)
}

func round(x float64, digits int) float64 {
	f := math.Pow10(digits)
	return math.Round(x*f) / f
}

// Policies names the policies that Run compares, in order.
var Policies = []string{"round-robin", "least-loaded", "prefix-hash", "mimosaseam"}

// Additional runs of the production policy.
const (
	policyOneRouter  = "mimosaseam, one router"
	policyRestartAll = "mimosaseam, all routers restart"
)

// Run sends the same arrivals through every policy. With extra it adds a run with
// a single router for all requests and a run in which all routers restart before
// the middle arrival.
func Run(w Workload, seed uint64, extra bool) []Result {
	all := arrivals(w, seed)
	var results []Result
	var last *driver
	for _, name := range Policies {
		last = newDriver(w, options{policy: name, seed: seed, newPlacer: placerFactory(w, name)})
		results = append(results, last.run(all))
	}
	if !extra {
		return results
	}
	product := placerFactory(w, "mimosaseam")
	one := newDriver(w, options{policy: policyOneRouter, seed: seed, newPlacer: product, single: true})
	results = append(results, one.run(all))
	half := w.Requests / 2
	restart := newDriver(w, options{policy: policyRestartAll, seed: seed, newPlacer: product, restartAt: half})
	r := restart.run(all)
	r.HitRateBefore, r.HitRateAfter = restart.metrics.hitRate(half-1000, half), restart.metrics.hitRate(half, half+200)
	r.HitRateWithoutRestart = last.metrics.hitRate(half, half+200)
	return append(results, r)
}

func placerFactory(w Workload, policy string) func(seed uint64, region string) core.Placer {
	if slices.Contains(baseline.Names, policy) {
		first := 0
		if len(w.Levels) > 0 {
			first = w.Levels[0].Tokens / w.BlockTokens
		}
		return func(seed uint64, _ string) core.Placer { return baseline.New(policy, seed, first) }
	}
	return func(seed uint64, region string) core.Placer {
		return core.New(core.Settings{Seed: seed, Region: region, InterRegionMs: w.InterRegionMs})
	}
}
