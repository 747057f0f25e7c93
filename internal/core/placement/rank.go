package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/core/workload"
)

const (
	// maxHomeCandidates bounds the home targets scored for one request.
	maxHomeCandidates = 16
	bytesPerMiB       = 1 << 20
	// tieMs and tieShare are the absolute and the relative difference from the best
	// cost up to which costs count as tied.
	tieMs    = 2.0
	tieShare = 0.03
	// notHome is the order of candidates that are not home targets.
	notHome = 1 << 20
)

// candidate is a target considered for a request.
type candidate struct {
	index int
	state *targetState
	// order is the position in the rendezvous order; notHome or more for targets
	// outside of it.
	order  int
	reason string
	score  Score
	// usualPerMs is the number of tokens that an engine of usual speed prefills in 1 ms.
	usualPerMs float64
}

// requestView is the policy's state for one request.
type requestView struct {
	now   time.Time
	req   Request
	chain chain
	path  []step
	home  uint64
	// child is the first block after the home segment. It distributes the prompts
	// of a spread home segment over its targets.
	child  uint64
	spread int
	// homeStep is the index of the home segment in path, len(path) when unknown.
	homeStep int
	targets  int
	// cost is the cost of a plain request.
	cost workload.Cost
}

func (p *Policy) newView(now time.Time, req Request, targets int) requestView {
	v := requestView{now: now, req: req, chain: newChain(req.Scope.String(), req.Blocks), spread: 1, targets: targets}
	p.path = p.segments.walk(v.chain, p.path[:0])
	v.path = p.path
	p.locateHome(&v)
	return v
}

// Rank returns the candidates, best first.
func (p *Policy) Rank(now time.Time, req Request, targets []Target) []Score {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(targets) == 0 {
		return nil
	}
	p.latest = now
	v := p.newView(now, req, len(targets))
	if req.plain() {
		v.cost = p.plainCost(now, req)
	}
	p.recordPool(v.chain.seed, req, targets)
	found := p.homeAndHolders(&v, targets)
	found = p.addIdle(&v, targets, found)
	for i := range found {
		if found[i].score.Target == "" {
			p.score(&v, &found[i], targets[found[i].index])
		}
	}
	scores := p.order(found)
	p.recordRanking(fingerprint(v.chain, req), found)
	return scores
}

// recentRanks bounds the rankings stored until their attempts start. Callers
// start the attempt right after Rank, so only concurrent requests come in between.
const recentRanks = 256

// ranking is the stored result of a recent Rank.
type ranking struct {
	fingerprint uint64
	targets     []int32
	orders      []int
	// expected holds the expected times to the first token in ms.
	expected []float64
	// fixed holds the parts of expected that are not prefill, usualPerMs the candidates'.
	fixed, usualPerMs []float64
}

func (p *Policy) recordRanking(fingerprint uint64, found []candidate) {
	r := &p.recent[p.nextRecent%recentRanks]
	p.nextRecent++
	r.fingerprint, r.targets, r.orders, r.expected = fingerprint, r.targets[:0], r.orders[:0], r.expected[:0]
	r.fixed, r.usualPerMs = r.fixed[:0], r.usualPerMs[:0]
	for i := range found {
		r.targets = append(r.targets, found[i].state.id)
		r.orders = append(r.orders, found[i].order)
		s := &found[i].score
		r.expected = append(r.expected, s.QueueMs+s.PrefillMs+s.LinkMs+s.ColdMs)
		r.fixed = append(r.fixed, s.QueueMs+s.LinkMs+s.ColdMs)
		r.usualPerMs = append(r.usualPerMs, found[i].usualPerMs)
	}
}

// rankedTarget is what the latest ranking of a request says of one target. expectedMs is the
// time to the first token expected there, fixedMs the part of it that is not prefill.
type rankedTarget struct {
	order                           int
	expectedMs, fixedMs, usualPerMs float64
}

// findRanking returns the target in the latest ranking of the request. Without a ranking its
// order is notHome and the rest 0.
func (p *Policy) findRanking(fingerprint uint64, target int32) rankedTarget {
	for back := 1; back <= min(recentRanks, p.nextRecent); back++ {
		r := &p.recent[(p.nextRecent-back)%recentRanks]
		if r.fingerprint != fingerprint {
			continue
		}
		if i := slices.Index(r.targets, target); i >= 0 {
			return rankedTarget{r.orders[i], r.expected[i], r.fixed[i], r.usualPerMs[i]}
		}
	}
	return rankedTarget{order: notHome}
}

func (p *Policy) recordPool(seed uint64, req Request, targets []Target) {
	s := poolStats{targets: len(targets)}
	for i := range targets {
		s.slots += float64(targets[i].Slots)
		s.cacheBlocks += float64(targets[i].CacheBlocks)
		s.prefillPerSec += targets[i].PrefillTokensPerSecond
	}
	n := float64(len(targets))
	s.slots, s.cacheBlocks, s.prefillPerSec = s.slots/n, s.cacheBlocks/n, s.prefillPerSec/n
	if len(p.pools) >= maxScopes {
		clear(p.pools)
	}
	p.pools[seed] = s
}

// homeAndHolders returns the first targets of the rendezvous order and the
// targets known to have a part of the prompt cached.
func (p *Policy) homeAndHolders(v *requestView, targets []Target) []candidate {
	// One more than the spread: all routers overflow to the next target in order.
	limit := min(v.spread+1, maxHomeCandidates, len(targets))
	type ranked struct {
		weight uint64
		hash   uint64
		index  int
	}
	top := make([]ranked, 0, limit+1)
	held := p.holderHashes(v)
	var holders []int
	for i := range targets {
		hash := xxhash.Sum64String(targets[i].Name)
		if v.req.KnownCachedTokens[targets[i].Name] > 0 || len(held) > 0 && slices.Contains(held, hash) {
			holders = append(holders, i)
		}
		w := rendezvous(v.home, hash)
		if len(top) == limit && w <= top[limit-1].weight {
			continue
		}
		at := len(top)
		for at > 0 && top[at-1].weight < w {
			at--
		}
		top = slices.Insert(top, at, ranked{w, hash, i})
		top = top[:min(len(top), limit)]
	}
	if n := min(v.spread, len(top)); n > 1 {
		for i := range top[:n] {
			top[i].weight = rendezvous(v.child, top[i].hash)
		}
		slices.SortFunc(top[:n], func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	}
	found := make([]candidate, 0, limit+len(holders)+p.cfg.IdleSample)
	for order, r := range top {
		found = append(found, candidate{index: r.index, order: order, reason: "home"})
	}
	for _, i := range holders {
		found = addCandidate(found, candidate{index: i, order: notHome, reason: "holder"})
	}
	return found
}

// holderHashes returns the name hashes of the targets with a part of the path
// cached.
func (p *Policy) holderHashes(v *requestView) []uint64 {
	var hashes []uint64
	for _, st := range v.path {
		for i := range st.segment.holders {
			t := p.byID[st.segment.holders[i].target]
			if t.valid(&st.segment.holders[i]) && !slices.Contains(hashes, t.hash) {
				hashes = append(hashes, t.hash)
			}
		}
	}
	return hashes
}

// addIdle adds the two cheapest targets of a random sample. Routers draw
// different samples, so they don't all choose the same idle target.
func (p *Policy) addIdle(v *requestView, targets []Target, found []candidate) []candidate {
	var sample []candidate
	for range min(p.cfg.IdleSample, len(targets)) {
		c := candidate{index: p.rng.IntN(len(targets)), order: notHome + 1 + p.rng.IntN(notHome), reason: "idle"}
		sample = addCandidate(sample, c)
	}
	for i := range sample {
		p.score(v, &sample[i], targets[sample[i].index])
	}
	slices.SortFunc(sample, byCost)
	for _, c := range sample[:min(2, len(sample))] {
		found = addCandidate(found, c)
	}
	return found
}

func addCandidate(found []candidate, c candidate) []candidate {
	for i := range found {
		if found[i].index == c.index {
			return found
		}
	}
	return append(found, c)
}

func byCost(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.score.CostMs, b.score.CostMs), cmp.Compare(a.order, b.order))
}

// order sorts by cost; candidates tied with the best are sorted by order.
func (p *Policy) order(found []candidate) []Score {
	slices.SortFunc(found, byCost)
	limit := found[0].score.CostMs + max(tieMs, tieShare*found[0].score.CostMs)
	ties := 1
	for ties < len(found) && found[ties].score.CostMs <= limit {
		ties++
	}
	slices.SortFunc(found[:ties], func(a, b candidate) int { return cmp.Compare(a.order, b.order) })
	scores := make([]Score, len(found))
	for i := range found {
		scores[i] = found[i].score
	}
	return scores
}
