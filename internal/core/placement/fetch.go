package placement

import "time"

// Source is a cache from which a target could fetch parts.
type Source struct {
	Address          string
	Region           string
	AvailabilityZone string
	// CachedTokens is how much of the prompt's beginning it holds.
	CachedTokens int
}

// FetchCosts describe how cached parts travel and what reading them costs.
type FetchCosts struct {
	// TokenBytes is the size of one cached token, LinkMbps the rate of a link.
	TokenBytes float64
	LinkMbps   float64
	// PrefillTokensPerSecond is the rate at which a target reads a prompt.
	PrefillTokensPerSecond float64
	// Objective is the time to the first token that is still on time.
	Objective time.Duration
}

const (
	// minFetchTokens is the gain below which reading is cheaper than asking.
	minFetchTokens = 256
	// Transfers take twice as long between zones and ten times as long between
	// regions, by the platform's description.
	crossZoneFactor   = 2
	crossRegionFactor = 10
	// fetchShare is the part of the objective that the first token may take with a
	// fetch that is slower than reading: the engine's time is spared for others,
	// and the request is still on time.
	fetchShare = 0.6
)

// Ms returns the expected duration of a transfer in ms.
func (t FetchCosts) Ms(tokens int, from Source, to Target) float64 {
	ms := float64(tokens) * t.TokenBytes * 8 / (t.LinkMbps * 1000)
	switch {
	case from.Region != to.Region:
		return ms * crossRegionFactor
	case from.AvailabilityZone != to.AvailabilityZone:
		return ms * crossZoneFactor
	}
	return ms
}

// BestFetch picks the source from which the target should fetch before it reads
// the rest; ok is false when reading all of it is better. It answers the load of
// shared parts that some engine has read already.
func BestFetch(t FetchCosts, to Target, score Score, promptTokens int, sources []Source) (best Source, ok bool) {
	if t.TokenBytes <= 0 || t.LinkMbps <= 0 || t.PrefillTokensPerSecond <= 0 {
		return Source{}, false
	}
	perMs := t.PrefillTokensPerSecond / 1000
	without := float64(promptTokens-score.CachedTokens) / perMs
	limit := max(without, fetchShare*float64(t.Objective.Milliseconds())-score.QueueMs-score.LinkMs)
	bestCost := 0.0
	for _, s := range sources {
		gain := s.CachedTokens - score.CachedTokens
		if gain < minFetchTokens || s.Address == to.Address {
			continue
		}
		transfer := t.Ms(gain, s, to)
		total := transfer + float64(promptTokens-s.CachedTokens)/perMs
		if total > limit {
			continue
		}
		// Tokens read again weigh as much as the time that they take.
		cost := total + float64(promptTokens-s.CachedTokens)/perMs
		if !ok || cost < bestCost {
			best, bestCost, ok = s, cost, true
		}
	}
	return best, ok
}
