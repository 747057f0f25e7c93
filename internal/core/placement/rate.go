package placement

import "math"

const (
	// DefaultPrefillTokensPerSecond stands in until engines have answered: of the
	// order of one large model on current accelerators.
	DefaultPrefillTokensPerSecond = 30_000
	// minRateTokens is the length from which on a prompt tells the rate: of shorter
	// ones the fixed part of a step takes most of the time.
	minRateTokens = 1024
	// priorPrompts is the number of prompts that the default counts as, and
	// leastRateWeight the weight of a new one once many are known.
	priorPrompts    = 8
	leastRateWeight = 0.02
	// Rates outside these bounds are measuring errors.
	lowestRate, highestRate = 100, 10_000_000
)

// PrefillRate is the rate at which the engines of a service read prompts, as their
// answers show. The zero value is the default.
type PrefillRate struct {
	prompts float64
	log     float64
}

// Observe returns the rate with one more prompt, of which the engine read the tokens in
// the given time. The mean is of logarithms, so that a few slow answers count little.
func (r PrefillRate) Observe(tokens int, ms float64) PrefillRate {
	if tokens < minRateTokens || ms <= 0 {
		return r
	}
	rate := float64(tokens) / ms * 1000
	if rate < lowestRate || rate > highestRate {
		return r
	}
	r.prompts++
	r.log += max(leastRateWeight, 1/(r.prompts+priorPrompts)) * (math.Log(rate/DefaultPrefillTokensPerSecond) - r.log)
	return r
}

// TokensPerSecond is the rate to expect.
func (r PrefillRate) TokensPerSecond() float64 {
	return DefaultPrefillTokensPerSecond * math.Exp(r.log)
}
