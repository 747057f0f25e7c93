package placement

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/core/workload"
)

const (
	// minSpeedTokens is the shortest prefill that tells of the target's speed.
	minSpeedTokens = 512
	// maxFixedShare bounds the wait, link and cold start expected of such a request, as a
	// multiple of its usual prefill: the rest of its time is known too badly otherwise.
	maxFixedShare = 0.5
)

// maxReportedWaiting bounds the requests of others that a report counts as waiting.
const maxReportedWaiting = 64

// ObserveResponse processes the load that a target reported with a response. Without slowness it
// tells nothing.
func (p *Policy) ObserveResponse(now time.Time, target string, r workload.Report) {
	if !(r.SlownessPercent > 0) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(target)
	t.speed = t.speed.Report(now, r.SlownessPercent)
	own := 0
	for _, a := range t.attempts {
		if !a.decoding {
			own++
		}
	}
	t.waitingTokens = float64(min(max(0, r.Waiting-own), maxReportedWaiting)) * p.uncached
	t.waitingAt = now
}

// othersPendingTokens is the remaining prefill work of other routers' requests: what they
// announced or, if that is more, what the last report counts as waiting beyond own requests.
// Both fall at the target's prefill rate.
func (t *targetState) othersPendingTokens(now time.Time, perMs float64) float64 {
	announced := t.pendingPeerTokens(now)
	age := now.Sub(t.waitingAt)
	if t.waitingTokens == 0 || age > workload.ReportTTL {
		return announced
	}
	return max(announced, t.waitingTokens-perMs*float64(age)/float64(time.Millisecond))
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
