package retrypolicy

import (
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
)

// Guards against a second run of a request that must run at most once, against more
// runs than the route allows, and against a request that may have run being refused
// as not run.
func TestFailedAttempt(t *testing.T) {
	once := &gatewayconfig.Route{Kind: gatewayconfig.NonIdempotent, MaxAttempts: 3}
	twice := &gatewayconfig.Route{Kind: gatewayconfig.Idempotent, MaxAttempts: 2}
	plain := &gatewayconfig.Route{Kind: gatewayconfig.Streaming, MaxAttempts: 2}
	resumable := &gatewayconfig.Route{Kind: gatewayconfig.Streaming, Resumable: true, MaxAttempts: 2}
	cases := map[string]struct {
		route     *gatewayconfig.Route
		before    History
		last      Outcome
		retry     bool
		otherwise FinalAction
	}{
		"once, not run":               {once, History{}, NotRun, true, Refuse},
		"once, unknown":               {once, History{}, Unknown, false, Fail},
		"once, failure response":      {once, History{}, Failed, false, ForwardFailure},
		"once, too many refusals":     {once, History{Refusals: 3}, NotRun, false, Refuse},
		"twice, unknown":              {twice, History{}, Unknown, true, Fail},
		"twice, failure":              {twice, History{}, Failed, true, ForwardFailure},
		"twice, second failure":       {twice, History{PossibleRuns: 1}, Failed, false, ForwardFailure},
		"twice, not run after a run":  {twice, History{PossibleRuns: 1}, NotRun, true, Fail},
		"plain stream, broken":        {plain, History{}, Unknown, false, Fail},
		"plain stream, broken midway": {plain, History{Delivered: true}, Unknown, false, Abort},
		"resumable stream, broken":    {resumable, History{Delivered: true}, Unknown, true, Abort},
		"resumable stream, twice":     {resumable, History{PossibleRuns: 1, Delivered: true}, Unknown, false, Abort},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := c.before
			h.Add(c.last)
			is.Equal(MayRetry(c.route, h, c.last), c.retry)
			is.Equal(ChooseFinalAction(h, c.last), c.otherwise)
		})
	}
}
