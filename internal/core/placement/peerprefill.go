package placement

import "time"

// maxPeerPrefillTokens bounds the prefill work of one announced request: no announcement
// keeps a target out of use for long.
const maxPeerPrefillTokens = 1 << 18

// ObservePeerRequest records a request that another router sent to the target:
// the number of tokens to prefill and the rate at which a target of usual speed prefills them.
func (p *Policy) ObservePeerRequest(now time.Time, target string, tokens int, tokensPerSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(target)
	t.peerPrefillTokens = t.pendingPeerTokens(now) + float64(max(0, min(tokens, maxPeerPrefillTokens)))
	t.peerPrefillAt, t.peerPrefillRate = now, tokensPerSecond/t.speed.Factor(now)
}

// pendingPeerTokens is the remaining prefill work of other routers' requests. It
// falls at the target's prefill rate.
func (t *targetState) pendingPeerTokens(now time.Time) float64 {
	return max(0, t.peerPrefillTokens-t.peerPrefillRate*max(0, now.Sub(t.peerPrefillAt).Seconds()))
}
