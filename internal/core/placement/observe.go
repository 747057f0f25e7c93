package placement

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// maxGuesses bounds the predictions kept for one attempt.
const maxGuesses = 6

// fingerprint tells the attempts on one target apart. Two requests with equal
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
	// Predictions come before learning, so that the rates do not count this use.
	targets := max(1, p.shapes[c.seed].targets)
	v := p.view(now, req, targets)
	p.predict(&v, t, a)
	t.attempts = append(t.attempts, a)
	p.path = p.segments.learn(now, c, p.path[:0])
	v = view{now: now, req: req, chain: c, path: p.path, spread: 1, targets: targets}
	p.adapt(&v)
	p.locateHome(&v)
	a.home = v.home
	for _, st := range v.path {
		p.hold(st, t, now, 0)
	}
}

// predict fills in what the attempt is expected to find on the target.
func (p *Policy) predict(v *view, t *targetState, a *attempt) {
	order, expectedMs := p.recall(a.fingerprint, t.id)
	cached := p.expectedCached(v, t, order)
	a.missed = max(0, float64(v.req.PromptTokens)-cached)
	a.expected = time.Duration(expectedMs * float64(time.Millisecond))
	for i, st := range v.path {
		h := st.segment.holder(t.id)
		if !t.valid(h) || int(h.blocks) < st.matched || len(a.guesses) == maxGuesses {
			break
		}
		q, _ := p.present(v, t, i, order)
		a.guesses = append(a.guesses, guess{end: st.segment.depth + st.matched, p: q})
	}
}

// hold records that the target has the matched part of the step.
func (p *Policy) hold(st step, t *targetState, now time.Time, run uint32) {
	if st.matched == 0 {
		return
	}
	blocks := int32(st.matched)
	if h := st.segment.holder(t.id); t.valid(h) && p.retained.survival(h.age(now)) > 0.5 {
		blocks = max(blocks, h.blocks)
	}
	st.segment.setHolder(holder{target: t.id, epoch: t.epoch, blocks: blocks, eventRun: run, last: now.UnixNano()}, p.cfg.MaxHolders)
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
	a.running, a.ttft = true, now.Sub(a.start)
	if a.expected > 0 {
		t.surprise(now, a.ttft-a.expected)
	}
}

// Finished records the end of an attempt and learns from the cached tokens.
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
	current := t.adopt(now, inc) && a.epoch == t.epoch
	if cachedTokens < 0 || !current {
		p.unhold(c, t, a)
		return
	}
	p.averageWork(now, a, float64(req.PromptTokens-cachedTokens))
	blocks := cachedTokens / max(req.BlockTokens, 1)
	for _, g := range a.guesses {
		p.retained.learn(g.p, blocks >= g.end)
	}
	if s := p.segments.head(a.home); s != nil {
		s.work += averageStep * (float64(req.PromptTokens-cachedTokens) - s.work)
	}
}

// averageWork learns from a finished attempt. Its prefill is taken to shrink
// evenly until the first token.
func (p *Policy) averageWork(now time.Time, a *attempt, missed float64) {
	p.missed += averageStep * (missed - p.missed)
	flight := now.Sub(a.start).Seconds()
	if a.running {
		p.service += averageStep * (flight - a.ttft.Seconds() - p.service)
	}
	p.flightSum += averageStep * (flight - p.flightSum)
	p.pendingSum += averageStep * (missed*a.ttft.Seconds()/2 - p.pendingSum)
}

// pendingPerRequest is the prefill work to expect behind a request in flight.
func (p *Policy) pendingPerRequest() float64 {
	if p.flightSum <= 0 {
		return 0
	}
	return p.pendingSum / p.flightSum
}

// unhold takes back what Started assumed of an attempt that failed.
func (p *Policy) unhold(c chain, t *targetState, a *attempt) {
	p.path = p.segments.walk(c, p.path[:0])
	for _, st := range p.path {
		if h := st.segment.holder(t.id); h != nil && h.last == a.start.UnixNano() {
			st.segment.dropHolder(t.id)
		}
	}
}
