package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// peerFreshFor is the time after which a silent peer's counts are dropped.
	peerFreshFor = 15 * time.Second
	// averageStep is the gain of the running averages over requests.
	averageStep = 0.05
	// unexplainedStep smooths the part of load reports that is not explained. The
	// report and the peers' counts are of different moments, so their difference
	// is mostly noise around zero.
	unexplainedStep = 0.3
	// maxScopes bounds the scopes whose pool shape is kept.
	maxScopes = 20000
)

// Policy is the Placer of mimosaseam: rendezvous order on a learned home
// prefix, corrected by what this router knows of caches and load.
type Policy struct {
	mu       sync.Mutex
	cfg      Settings
	rng      *rand.Rand
	segments *segments
	targets  map[string]*targetState
	byID     []*targetState
	peers    map[string]*peerState
	routers  int
	shapes   map[uint64]shape
	retained retention
	// pendingSum and flightSum average, over finished requests, the integral of
	// the tokens left to prefill and the time in flight. Their quotient is the
	// prefill work to expect behind a request of which only the count is known.
	pendingSum, flightSum float64
	// service is the usual time from the first token to the end of a request, in s.
	service float64
	// missed is the usual number of missed tokens of a request.
	missed float64
	path   []step
	recent [recentRanks]ranking
	// nextRecent counts the rankings.
	nextRecent int
	// latest is the latest time that a call told.
	latest time.Time
}

var _ Placer = (*Policy)(nil)

// peerState holds the in-flight counts of one peer.
type peerState struct {
	at     time.Time
	counts map[string]int
}

// shape is what the targets of a scope are like.
type shape struct {
	targets       int
	slots         float64
	cacheBlocks   float64
	prefillPerSec float64
	blockTokens   int
}

// New returns a Policy that knows nothing yet.
func New(cfg Settings) *Policy {
	cfg = cfg.withDefaults()
	return &Policy{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d696d6f7361)), segments: newSegments(cfg),
		targets: map[string]*targetState{}, peers: map[string]*peerState{}, routers: 1,
		shapes: map[uint64]shape{}, retained: retention{d: initialRetention},
	}
}

// ObserveRouters sets the number of live routers, this one included. Without
// it the peers that report are counted.
func (p *Policy) ObserveRouters(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routers = max(1, n)
}

// ObserveLoad takes a lagging load report.
func (p *Policy) ObserveLoad(now time.Time, target string, report port.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(target)
	if !t.adopt(now, report.Incarnation) {
		return
	}
	t.adoptWeights(now, report.WeightsVersion)
	known := t.peers
	for _, a := range t.attempts {
		if a.start.Before(report.MeasuredAt) {
			known++
		}
	}
	t.unexplained += unexplainedStep * (float64(report.Running+report.Waiting-known) - t.unexplained)
	t.reportedAt = report.MeasuredAt
}

// ObservePeer takes the in-flight counts that a peer reported.
func (p *Policy) ObservePeer(now time.Time, peer string, inFlight map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, old := range p.peers {
		if name == peer || now.Sub(old.at) > peerFreshFor {
			p.forgetPeer(old)
			delete(p.peers, name)
		}
	}
	state := &peerState{at: now, counts: make(map[string]int, min(len(inFlight), p.cfg.MaxPeerTargets))}
	// In name order, so that a run with the same seed numbers targets alike.
	for _, target := range slices.Sorted(maps.Keys(inFlight)) {
		if len(state.counts) == p.cfg.MaxPeerTargets {
			break
		}
		state.counts[target] = inFlight[target]
		p.target(target).peers += inFlight[target]
	}
	p.peers[peer] = state
	p.routers = max(p.routers, len(p.peers)+1)
}

// forgetPeer takes the counts of a peer off. A target that was replaced in the
// meantime has none of them.
func (p *Policy) forgetPeer(old *peerState) {
	for name, n := range old.counts {
		if t, ok := p.targets[name]; ok {
			t.peers = max(0, t.peers-n)
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

// Drop forgets all cached blocks of the target.
func (p *Policy) Drop(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target(target).dropCache(p.latest)
}
