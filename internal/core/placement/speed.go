package placement

import "time"

const (
	// minSpeedTokens is the shortest prefill that tells of the target's speed.
	minSpeedTokens = 512
	// maxFixedShare bounds the wait, link and cold start expected of such a request, as a
	// multiple of its usual prefill: the rest of its time is known too badly otherwise.
	maxFixedShare = 0.5
)

// ObserveSlowness processes a report of how long work takes on the target, in percent of the
// usual; 0 tells nothing.
func (p *Policy) ObserveSlowness(now time.Time, target string, percent float64) {
	if !(percent > 0) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(target)
	t.speed = t.speed.Report(now, percent)
}

// observeSpeed learns from an attempt of which so many tokens were prefilled.
func (t *targetState) observeSpeed(now time.Time, a *attempt, uncached float64) {
	if !a.decoding || a.usualPerMs <= 0 || uncached < minSpeedTokens {
		return
	}
	usualMs := uncached / a.usualPerMs
	if a.fixedMs > maxFixedShare*usualMs {
		return
	}
	t.speed = t.speed.Finish(now, (a.ttft.Seconds()*1000-a.fixedMs)/usualMs)
}
