package placement

import "time"

// Source is a cache from which a target could fetch prompt parts.
type Source struct {
	Address          string
	Region           string
	AvailabilityZone string
	// CachedTokens is the number of tokens of the prompt's beginning it has cached.
	CachedTokens int
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

// TransferMs returns the expected duration of a transfer in ms.
func (t FetchCosts) TransferMs(tokens int, from Source, to Target) float64 {
	ms := float64(tokens) * t.TokenBytes * 8 / (t.LinkMbps * 1000)
	switch {
	case from.Region != to.Region:
		return ms * crossRegionFactor
	case from.AvailabilityZone != to.AvailabilityZone:
		return ms * crossZoneFactor
	}
	return ms
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
