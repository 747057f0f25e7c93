package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/workload"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// peerCountsMaxAge is the age from which the counts of a peer are dropped.
	peerCountsMaxAge = 15 * time.Second
	// averageGain is the gain of the running averages over requests.
	averageGain = 0.05
	// unattributedGain is the gain of the unattributed load. Load reports and the
	// peers' counts are taken at different times, so their difference is mostly
	// noise around zero.
	unattributedGain = 0.3
	// maxScopes bounds the scopes with pool statistics.
	maxScopes = 20000
)

// Policy is the cache-aware Placer. It orders targets by rendezvous hashing on a
// learned home prefix and corrects the order by the known state of caches and
// load.
type Policy struct {
	mu       sync.Mutex
	cfg      Settings
	rng      *rand.Rand
	segments *segments
	targets  map[string]*targetState
	byID     []*targetState
	peers    map[string]*peerState
	routers  int
	// routersObserved is set by ObserveRouters.
	routersObserved bool
	// pools is keyed by the hash of the scope.
	pools    map[uint64]poolStats
	retained retention
	// services is what plain targets have in common.
	services workload.Services
	// avgPendingIntegral and avgInFlightSeconds are averages over finished requests:
	// of the time integral of the tokens left to prefill, and of the time in flight.
	// Their quotient is the expected pending prefill work of a request about which
	// only the in-flight count is known.
	avgPendingIntegral, avgInFlightSeconds float64
	// decodeSeconds is the average time from the first token to the end of a
	// request.
	decodeSeconds float64
	// uncached is the average number of uncached prompt tokens of a request.
	uncached float64
	path     []step
	recent   [recentRanks]ranking
	// nextRecent counts the rankings.
	nextRecent int
	// latest is the time passed to the latest Rank or Started. Calls without a
	// time of their own use it.
	latest time.Time
}

var _ Placer = (*Policy)(nil)

// peerState holds the in-flight counts of one peer.
type peerState struct {
	at     time.Time
	counts map[string]int
}

// poolStats holds averages over the targets that serve a scope.
type poolStats struct {
	targets       int
	slots         float64
	cacheBlocks   float64
	prefillPerSec float64
}

// New returns a Policy without any learned state.
func New(cfg Settings) *Policy {
	cfg = cfg.withDefaults()
	return &Policy{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d696d6f7361)), segments: newSegments(cfg),
		targets: map[string]*targetState{}, peers: map[string]*peerState{}, routers: 1,
		pools: map[uint64]poolStats{}, retained: retention{d: initialRetention},
	}
}

// ObserveRouters sets the number of live routers, including this one. If it is
// never called, the number is derived from the peers that report.
func (p *Policy) ObserveRouters(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routers, p.routersObserved = max(1, n), true
}

// ObserveLoad processes a load report, which may lag behind the actual load.
func (p *Policy) ObserveLoad(now time.Time, target string, report port.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(target)
	if !t.observeIncarnation(now, report.Incarnation) {
		return
	}
	t.observeWeights(now, report.WeightsVersion)
	attributed := t.peerInFlight
	for _, a := range t.attempts {
		if a.start.Before(report.MeasuredAt) {
			attributed++
		}
	}
	t.unattributed += unattributedGain * (float64(report.Running+report.Waiting-attributed) - t.unattributed)
	t.reportedAt = report.MeasuredAt
	t.speed = t.speed.Report(report.MeasuredAt, report.SlownessPercent)
}

// ObservePeerInFlight replaces the in-flight counts reported by a peer.
func (p *Policy) ObservePeerInFlight(now time.Time, peer string, inFlight map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, old := range p.peers {
		if name == peer || now.Sub(old.at) > peerCountsMaxAge {
			p.removePeerCounts(old)
			delete(p.peers, name)
		}
	}
	state := &peerState{at: now, counts: make(map[string]int, min(len(inFlight), p.cfg.MaxPeerTargets))}
	// Sorted, so that runs with the same seed assign the same target ids.
	for _, target := range slices.Sorted(maps.Keys(inFlight)) {
		if len(state.counts) == p.cfg.MaxPeerTargets {
			break
		}
		state.counts[target] = inFlight[target]
		p.target(target).peerInFlight += inFlight[target]
	}
	p.peers[peer] = state
	if !p.routersObserved {
		p.routers = max(p.routers, len(p.peers)+1)
	}
}

// removePeerCounts subtracts the counts of a peer. A target that was replaced in
// the meantime doesn't include them.
func (p *Policy) removePeerCounts(old *peerState) {
	for name, n := range old.counts {
		if t, ok := p.targets[name]; ok {
			t.peerInFlight = max(0, t.peerInFlight-n)
		}
	}
}

// InFlight returns the router's own in-flight count for each target.
func (p *Policy) InFlight() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[string]int{}
	for name, t := range p.targets {
		if n := len(t.attempts); n > 0 {
			counts[name] = n
		}
	}
	return counts
}

// DropCache discards all cache knowledge about the target.
func (p *Policy) DropCache(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target(target).dropCache(p.latest)
}
