package placement

import "math"

const (
	// DefaultPrefillTokensPerSecond applies until responses have been measured. It
	// is of the order of a large model on current accelerators.
	DefaultPrefillTokensPerSecond = 30_000
	// minRateTokens is the shortest prompt that is measured: in shorter ones the
	// fixed cost of an engine step dominates.
	minRateTokens = 1024
	// priorPrompts is the weight of the default in numbers of prompts;
	// minRateWeight is the lower bound of the weight of a new prompt.
	priorPrompts  = 8
	minRateWeight = 0.02
	// Rates outside minRate and maxRate, in tokens per second, are measurement errors.
	minRate, maxRate = 100, 10_000_000
)

// PrefillRate estimates the prefill rate of the engines of a service from their
// responses. The zero value is DefaultPrefillTokensPerSecond.
type PrefillRate struct {
	prompts float64
	// logRatio is the averaged logarithm of the measured rate divided by the default.
	logRatio float64
}

// Observe returns the estimate after one more prompt, of which the engine prefilled
// the tokens in the given time. It averages logarithms to limit the effect of a few
// slow responses.
func (r PrefillRate) Observe(tokens int, ms float64) PrefillRate {
	if tokens < minRateTokens || ms <= 0 {
		return r
	}
	rate := float64(tokens) / ms * 1000
	if rate < minRate || rate > maxRate {
		return r
	}
	r.prompts++
	r.logRatio += max(minRateWeight, 1/(r.prompts+priorPrompts)) * (math.Log(rate/DefaultPrefillTokensPerSecond) - r.logRatio)
	return r
}

// TokensPerSecond is the estimated rate.
func (r PrefillRate) TokensPerSecond() float64 {
	return DefaultPrefillTokensPerSecond * math.Exp(r.logRatio)
}
