package placement

import "time"

// Source is a cache from which a target could fetch prompt parts.
type Source struct {
	Address          string
	Region           string
	AvailabilityZone string
	// CachedTokens is the number of tokens of the prompt's beginning it has cached, or is
	// expected to have if the router does not read its events: a fetch that finds less costs
	// about a millisecond.
	CachedTokens int
}

// presumedStoreShare is the share of a prompt's shared parts that a store is expected to have
// whose events the router does not read. Every engine saves to the nearest store what it
// prefills, and a store drops the parts that were not used for longest.
const presumedStoreShare = 0.5

// PresumedTokens returns how many of the tokens of shared parts a store is expected to have
// whose events the router does not read.
func PresumedTokens(shared int) int { return int(presumedStoreShare * float64(shared)) }

// Distance orders caches by the duration of a transfer: 0 within the availability zone of the
// target, 1 within its region, 2 beyond.
func (s Source) Distance(to Target) int {
	switch {
	case s.AvailabilityZone == to.AvailabilityZone:
		return 0
	case s.Region == to.Region:
		return 1
	}
	return 2
}

// FetchCosts are the parameters that decide between a fetch and a prefill.
type FetchCosts struct {
	// TokenBytes is the KV cache size of one token, LinkMbps the rate of a link.
	TokenBytes float64
	LinkMbps   float64
	// PrefillTokensPerSecond is the prefill rate of a target.
	PrefillTokensPerSecond float64
	// Objective is the latency objective for the first token.
	Objective time.Duration
}

const (
	// minFetchTokens is the gain below which a prefill is cheaper than the request
	// for a fetch.
	minFetchTokens = 256
	// crossZoneFactor and crossRegionFactor apply to transfers between availability
	// zones and between regions: the platform documents that they take twice and ten
	// times as long.
	crossZoneFactor   = 2
	crossRegionFactor = 10
	// fetchShare is the fraction of the objective that the first token may take
	// with a fetch that is slower than a prefill: the request still meets its
	// objective, and the engine's time is free for other requests.
	fetchShare = 0.6
)

// distanceFactors are the factors by Source.Distance.
var distanceFactors = [...]float64{1, crossZoneFactor, crossRegionFactor}

// TransferMs returns the expected duration of a transfer in ms.
func (t FetchCosts) TransferMs(tokens int, from Source, to Target) float64 {
	ms := float64(tokens) * t.TokenBytes * 8 / (t.LinkMbps * 1000)
	return ms * distanceFactors[from.Distance(to)]
}

// BestFetch returns the source from which the target should fetch the beginning of
// the prompt before it prefills the rest; ok is false if prefilling the whole prompt
// is better. Fetching avoids repeated prefill of shared parts that another engine
// has already computed.
func BestFetch(t FetchCosts, to Target, score Score, promptTokens int, sources []Source) (best Source, ok bool) {
	if t.TokenBytes <= 0 || t.LinkMbps <= 0 || t.PrefillTokensPerSecond <= 0 {
		return Source{}, false
	}
	perMs := t.PrefillTokensPerSecond / 1000
	recomputeMs := float64(promptTokens-score.CachedTokens) / perMs
	limit := max(recomputeMs, fetchShare*float64(t.Objective.Milliseconds())-score.QueueMs-score.LinkMs)
	bestCost := 0.0
	for _, s := range sources {
		gain := s.CachedTokens - score.CachedTokens
		if gain < minFetchTokens || s.Address == to.Address {
			continue
		}
		transfer := t.TransferMs(gain, s, to)
		total := transfer + float64(promptTokens-s.CachedTokens)/perMs
		if total > limit {
			continue
		}
		// Prefill counts twice: as latency and as engine time.
		cost := total + float64(promptTokens-s.CachedTokens)/perMs
		if !ok || cost < bestCost {
			best, bestCost, ok = s, cost, true
		}
	}
	return best, ok
}
