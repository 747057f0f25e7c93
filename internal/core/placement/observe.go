package placement

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// maxPredictions bounds the predictions stored for one attempt.
const maxPredictions = 6

// fingerprint identifies an attempt on a target. Attempts of requests with equal
// prompts are interchangeable here.
func fingerprint(c chain, req Request) uint64 {
	last := c.seed
	if c.len() > 0 {
		last = c.key(c.len() - 1)
	}
	return mix64(last ^ uint64(req.PromptTokens)<<20 ^ uint64(req.OutputTokens))
}

// Started records that an attempt was sent to the target.
func (p *Policy) Started(now time.Time, req Request, target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latest = now
	t := p.target(target)
	c := newChain(req.Scope.String(), req.Blocks)
	a := &attempt{fingerprint: fingerprint(c, req), start: now, epoch: t.epoch}
	// The predictions precede insert, so that the rates don't include this request.
	targets := max(1, p.pools[c.seed].targets)
	v := p.newView(now, req, targets)
	p.predict(&v, t, a)
	if req.plain() {
		p.beginPlain(now, req, t, a)
	}
	t.attempts = append(t.attempts, a)
	p.path = p.segments.insert(now, c, p.path[:0])
	v = requestView{now: now, req: req, chain: c, path: p.path, spread: 1, targets: targets}
	p.updateHomes(&v)
	p.locateHome(&v)
	a.home = v.home
	for _, st := range v.path {
		p.recordHolder(st, t, now, 0)
	}
}

// predict sets the expected uncached tokens, time to the first token and cache
// predictions of the attempt.
func (p *Policy) predict(v *requestView, t *targetState, a *attempt) {
	ranked := p.findRanking(a.fingerprint, t.id)
	cached := p.expectedCachedTokens(v, t, ranked.order)
	a.uncached = max(0, float64(v.req.PromptTokens)-cached)
	a.expected = time.Duration(ranked.expectedMs * float64(time.Millisecond))
	a.fixedMs, a.usualPerMs = ranked.fixedMs, ranked.usualPerMs
	for i, st := range v.path {
		h := st.segment.holder(t.id)
		if !t.valid(h) || int(h.blocks) < st.matched || len(a.predictions) == maxPredictions {
			break
		}
		q, _ := p.cacheProbability(v, t, i, ranked.order)
		a.predictions = append(a.predictions, prediction{end: st.segment.depth + st.matched, probability: q})
	}
}

// recordHolder records that the target has the matched part of the step cached.
func (p *Policy) recordHolder(st step, t *targetState, now time.Time, generation uint32) {
	if st.matched == 0 {
		return
	}
	blocks := int32(st.matched)
	if h := st.segment.holder(t.id); t.valid(h) && p.retained.survival(h.age(now)) > 0.5 {
		blocks = max(blocks, h.blocks)
	}
	st.segment.setHolder(holder{target: t.id, epoch: t.epoch, blocks: blocks, eventGeneration: generation, last: now.UnixNano()}, p.cfg.MaxHolders)
}

func (t *targetState) find(fingerprint uint64) int {
	for i, a := range t.attempts {
		if a.fingerprint == fingerprint {
			return i
		}
	}
	return -1
}

// FirstToken records the time from Started to the first token.
func (p *Policy) FirstToken(now time.Time, req Request, target string, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(target)
	i := t.find(fingerprint(newChain(req.Scope.String(), req.Blocks), req))
	if i < 0 {
		return
	}
	a := t.attempts[i]
	a.decoding, a.ttft = true, now.Sub(a.start)
	if a.expected > 0 {
		t.observeLateness(now, a.ttft-a.expected)
	}
}

// Finished records the end of an attempt and updates the estimates from the cached
// tokens.
func (p *Policy) Finished(now time.Time, req Request, target string, inc port.Incarnation, cachedTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(target)
	c := newChain(req.Scope.String(), req.Blocks)
	i := t.find(fingerprint(c, req))
	if i < 0 {
		return
	}
	a := t.attempts[i]
	t.attempts = append(t.attempts[:i], t.attempts[i+1:]...)
	current := t.observeIncarnation(now, inc) && a.epoch == t.epoch
	if req.plain() {
		p.endPlain(now, req, t, a, current && cachedTokens >= 0)
		return
	}
	if cachedTokens < 0 || !current {
		p.revertHolders(c, t, a)
		return
	}
	p.averageWork(now, a, float64(req.PromptTokens-cachedTokens))
	if !req.Fetched {
		t.observeSpeed(now, a, float64(req.PromptTokens-cachedTokens))
	}
	blocks := cachedTokens / max(req.BlockTokens, 1)
	for _, g := range a.predictions {
		p.retained.update(g.probability, blocks >= g.end)
	}
	if s := p.segments.head(a.home); s != nil {
		s.meanUncached += averageGain * (float64(req.PromptTokens-cachedTokens) - s.meanUncached)
	}
}

// averageWork updates the averages from a finished attempt. Its pending prefill is
// assumed to fall linearly until the first token.
func (p *Policy) averageWork(now time.Time, a *attempt, uncached float64) {
	p.uncached += averageGain * (uncached - p.uncached)
	inFlight := now.Sub(a.start).Seconds()
	if a.decoding {
		p.decodeSeconds += averageGain * (inFlight - a.ttft.Seconds() - p.decodeSeconds)
	}
	p.avgInFlightSeconds += averageGain * (inFlight - p.avgInFlightSeconds)
	p.avgPendingIntegral += averageGain * (uncached*a.ttft.Seconds()/2 - p.avgPendingIntegral)
}

// pendingPerRequest is the expected pending prefill work of a request in flight, in
// tokens.
func (p *Policy) pendingPerRequest() float64 {
	if p.avgInFlightSeconds <= 0 {
		return 0
	}
	return p.avgPendingIntegral / p.avgInFlightSeconds
}

// revertHolders removes the holders that Started recorded for a failed attempt.
func (p *Policy) revertHolders(c chain, t *targetState, a *attempt) {
	p.path = p.segments.walk(c, p.path[:0])
	for _, st := range p.path {
		if h := st.segment.holder(t.id); h != nil && h.last == a.start.UnixNano() {
			st.segment.dropHolder(t.id)
		}
	}
}
