package limits

import (
	"strings"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/config"
)

// burst is the period of unused rate that an account may spend at once.
const burst = time.Second

// Suffixes of the keys of an account's rates. The names of accounts contain no colon.
const (
	requestsSuffix = ":r"
	promptSuffix   = ":p"
	outputSuffix   = ":o"
)

// Rate is a rate limit of an account. All routers share it.
type Rate struct {
	Key   allotment.Key
	Limit allotment.Limit
	// Reason is the reason of refusals.
	Reason Reason
	// Cost is charged before the request is queued.
	Cost float64
}

// Rates returns the rate limits that a request is charged to. One that generates output is
// charged its first output token; the others are charged when they are known.
func Rates(account string, l config.Limits, promptTokens int, generates bool) []Rate {
	var out []Rate
	add := func(suffix string, perSecond, cost float64, reason Reason) {
		if perSecond > 0 && cost > 0 {
			out = append(out, Rate{Key: allotment.Key(account + suffix), Limit: rateLimit(suffix, perSecond), Reason: reason, Cost: cost})
		}
	}
	add(requestsSuffix, l.RequestsPerSecond, 1, ReasonRequestRate)
	add(promptSuffix, l.PromptTokensPerSecond, float64(promptTokens), ReasonPromptRate)
	if generates {
		add(outputSuffix, l.OutputTokensPerSecond, 1, ReasonOutputRate)
	}
	return out
}

// OutputRate returns the rate limit of an account's output tokens.
func OutputRate(account string, l config.Limits) (allotment.Key, allotment.Limit) {
	return allotment.Key(account + outputSuffix), rateLimit(outputSuffix, l.OutputTokensPerSecond)
}

// RateOf returns the limit with the key; limits returns the limits of an account.
func RateOf(key allotment.Key, limits func(account string) (config.Limits, bool)) (allotment.Limit, bool) {
	for _, suffix := range []string{requestsSuffix, promptSuffix, outputSuffix} {
		account, found := strings.CutSuffix(string(key), suffix)
		if !found {
			continue
		}
		l, known := limits(account)
		perSecond := map[string]float64{requestsSuffix: l.RequestsPerSecond, promptSuffix: l.PromptTokensPerSecond, outputSuffix: l.OutputTokensPerSecond}[suffix]
		return rateLimit(suffix, perSecond), known
	}
	return allotment.Limit{}, false
}

// rateLimit admits prompts and outputs that exceed one second of the rate; they delay later
// requests.
func rateLimit(suffix string, perSecond float64) allotment.Limit {
	return allotment.Limit{Rate: perSecond, Burst: max(perSecond*burst.Seconds(), 1), Debt: suffix != requestsSuffix}
}
