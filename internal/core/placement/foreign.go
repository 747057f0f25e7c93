package placement

import "time"

// ObserveStarted takes a request that another router sent to the target, which has
// to read the tokens for it at the given rate.
func (p *Policy) ObserveStarted(now time.Time, target string, tokens int, tokensPerSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(target)
	t.foreign = t.foreignTokens(now) + float64(max(tokens, 0))
	t.foreignAt, t.foreignRate = now, tokensPerSecond
}

// foreignTokens is the work of other routers' requests that is still to be done:
// it shrinks at the rate at which the target reads.
func (t *targetState) foreignTokens(now time.Time) float64 {
	return max(0, t.foreign-t.foreignRate*max(0, now.Sub(t.foreignAt).Seconds()))
}
