package limits

import (
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/config"
)

// Guards against requests that are charged to limits which do not concern them, and against a
// limit that another router looks up wrongly.
func TestRates(t *testing.T) {
	is := is.New(t)
	l := config.Limits{RequestsPerSecond: 0.5, PromptTokensPerSecond: 300, OutputTokensPerSecond: 40}
	rates := Rates("t/a", l, 900, true)
	is.Equal(rates, []Rate{
		{Key: "t/a:r", Limit: allotment.Limit{Rate: 0.5, Burst: 1}, Reason: ReasonRequestRate, Cost: 1},
		{Key: "t/a:p", Limit: allotment.Limit{Rate: 300, Burst: 300, Debt: true}, Reason: ReasonPromptRate, Cost: 900},
		{Key: "t/a:o", Limit: allotment.Limit{Rate: 40, Burst: 40, Debt: true}, Reason: ReasonOutputRate, Cost: 1},
	})
	is.Equal(len(Rates("t/a", l, 0, false)), 1) // a call to a service
	is.Equal(len(Rates("t/a", config.Limits{Concurrency: 3}, 900, true)), 0)
	lookUp := func(account string) (config.Limits, bool) { return l, account == "t/a" }
	for _, rate := range rates {
		limit, known := RateOf(rate.Key, lookUp)
		is.True(known)
		is.Equal(limit, rate.Limit)
	}
	for _, key := range []allotment.Key{"t/b:r", "t/a", "t/a:x", ""} {
		_, known := RateOf(key, lookUp)
		is.True(!known)
	}
}
