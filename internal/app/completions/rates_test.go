package completions

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/app/allotments"
	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

// rateSystem is a router whose account "account0" has limits.
type rateSystem struct {
	t *testing.T
	*Router
	snapshot *config.Snapshot
}

// withRates runs a test in a synctest bubble with a router that has its part of the limits.
func withRates(t *testing.T, l config.Limits, run func(is *is.I, s *rateSystem)) {
	synctest.Test(t, func(t *testing.T) {
		s := &rateSystem{t: t, snapshot: largeConfig(2)}
		ref := config.Ref{Team: "team", Name: "account0"}
		account := s.snapshot.Accounts[ref]
		account.Limits = l
		s.snapshot.Accounts[ref] = account
		source := fixedSource{s.snapshot}
		shared := allotments.New(allotments.Options{Self: "r0", Incarnation: 1,
			Limits: func(key allotment.Key) (allotment.Limit, bool) { return RateLimit(source, key) }})
		shared.RouterListed(true, 1)
		s.Router = New(Deps{Engine: &fakeEngine{}, Service: &fakeService{}, Runner: &fakeRunner{}, Source: source,
			Placer: placement.New(placement.DefaultSettings()), Allotments: shared})
		for _, target := range s.snapshot.Pools[config.Ref{Team: "team", Name: "pool"}].Targets {
			s.Targets.Observe(target.Address, port.Incarnation("i"), "v1", 0)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = shared.Run(ctx) }()
		<-time.After(10 * time.Second) // fake clock: the buckets are full
		run(is.New(t), s)
		cancel()
		synctest.Wait()
	})
}

func (s *rateSystem) plan(account string) *plan {
	p, err := s.planCompletion(CompletionRequest{RequestID: "r", Model: "m", Prompt: "p", MaxTokens: 10, Account: config.Ref{Team: "team", Name: account}})
	if err != nil {
		s.t.Fatal(err)
	}
	return p
}

// admitted admits a request of the account with a prompt of that many tokens.
func (s *rateSystem) admitted(account string, promptTokens int) (*plan, *admission, error) {
	p := s.plan(account)
	a, err := s.admit(s.t.Context(), p, admissionRequest{promptTokens: promptTokens, outputTokens: 10, generates: true})
	return p, a, err
}

func refusedFor(err error) limits.Reason {
	var refused *limits.RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// Guards against rate limits that are not enforced, that block other accounts, or that refuse
// with another reason than before.
func TestRateLimits(t *testing.T) {
	for name, c := range map[string]struct {
		limits config.Limits
		want   limits.Reason
	}{
		"requests": {config.Limits{RequestsPerSecond: 2}, limits.ReasonRequestRate},
		"prompts":  {config.Limits{PromptTokensPerSecond: 18}, limits.ReasonPromptRate},
		"output":   {config.Limits{OutputTokensPerSecond: 40}, limits.ReasonOutputRate},
	} {
		t.Run(name, func(t *testing.T) {
			withRates(t, c.limits, func(is *is.I, s *rateSystem) {
				for range 2 {
					p, a, err := s.admitted("account0", 9)
					is.NoErr(err)
					for chunks := range 30 {
						s.chargeOutput(p, chunks+1)
					}
					a.permit.Release()
				}
				_, _, err := s.admitted("account0", 9)
				is.Equal(refusedFor(err), c.want)
				_, _, err = s.admitted("account1", 9)
				is.NoErr(err)                 // another account is not blocked
				<-time.After(2 * time.Second) // fake clock
				_, _, err = s.admitted("account0", 9)
				is.NoErr(err)
			})
		})
	}
}

// Guards against prompts that exceed one second of the rate and are never served, or are served
// without delaying the next ones.
func TestPromptAboveOneSecondOfTheRate(t *testing.T) {
	withRates(t, config.Limits{PromptTokensPerSecond: 18}, func(is *is.I, s *rateSystem) {
		_, _, err := s.admitted("account0", 54)
		is.NoErr(err)
		<-time.After(1500 * time.Millisecond) // fake clock: 2 s of debt
		_, _, err = s.admitted("account0", 9)
		is.Equal(refusedFor(err), limits.ReasonPromptRate)
		<-time.After(1500 * time.Millisecond)
		_, _, err = s.admitted("account0", 9)
		is.NoErr(err)
	})
}

// Guards against generated tokens that are not charged: they delay the requests after them.
func TestOutputIsChargedWhenItIsKnown(t *testing.T) {
	withRates(t, config.Limits{OutputTokensPerSecond: 10}, func(is *is.I, s *rateSystem) {
		p, _, err := s.admitted("account0", 9)
		is.NoErr(err)
		for chunks := range 40 {
			s.chargeOutput(p, chunks+1)
		}
		<-time.After(2 * time.Second) // fake clock: 3 s of debt
		_, _, err = s.admitted("account0", 9)
		is.Equal(refusedFor(err), limits.ReasonOutputRate)
		<-time.After(2 * time.Second)
		_, _, err = s.admitted("account0", 9)
		is.NoErr(err)
	})
}

// Guards against requests that did not run and cost their account something: those that another
// limit refuses, and those that find no target.
func TestRequestsThatDidNotRunCostNothing(t *testing.T) {
	withRates(t, config.Limits{RequestsPerSecond: 3, PromptTokensPerSecond: 18}, func(is *is.I, s *rateSystem) {
		_, _, err := s.admitted("account0", 18)
		is.NoErr(err)
		for range 3 {
			_, _, err = s.admitted("account0", 18)
			is.Equal(refusedFor(err), limits.ReasonPromptRate) // not of its requests
		}
	})
	withRates(t, config.Limits{RequestsPerSecond: 0.2}, func(is *is.I, s *rateSystem) {
		p := s.plan("account0")
		p.deadline = time.Now()
		_, err := s.admit(s.t.Context(), p, admissionRequest{promptTokens: 9, outputTokens: 10, generates: true})
		is.Equal(refusedFor(err), limits.ReasonDeadline)
		engine := s.Engine.(*fakeEngine)
		engine.scripts = map[string]func(context.Context, port.Generation) (port.ChunkStream, error){}
		for _, target := range s.snapshot.Pools[config.Ref{Team: "team", Name: "pool"}].Targets {
			engine.scripts[target.Address] = func(context.Context, port.Generation) (port.ChunkStream, error) {
				return nil, &port.NotRunError{Target: target.Name, Reason: port.NotRunOverloaded}
			}
		}
		deadline, cancel := context.WithTimeout(s.t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err = s.Completion(deadline, CompletionRequest{RequestID: "r", Model: "m", Prompt: "p", MaxTokens: 10,
			Account: config.Ref{Team: "team", Name: "account0"}}, nil)
		is.Equal(asFailure(err).Outcome, OutcomeNotRun)
		is.True(len(engine.addresses()) > 0)
		_, _, err = s.admitted("account0", 9)
		is.NoErr(err)
		_, _, err = s.admitted("account0", 9)
		is.Equal(refusedFor(err), limits.ReasonRequestRate)
	})
}
