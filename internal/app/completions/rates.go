package completions

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"mimosaseam.example/mimosaseam/internal/app/allotments"
	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/limits"
)

// Allotments charges the rate limits of client accounts. *allotments.Service implements it.
type Allotments interface {
	Acquire(ctx context.Context, key allotment.Key, limit allotment.Limit, tokens float64, maxDelay time.Duration) (allotment.Charge, error)
	Return(charge allotment.Charge)
	Charge(key allotment.Key, limit allotment.Limit, tokens float64)
}

var _ Allotments = (*allotments.Service)(nil)

// RateLimit returns the rate limit with a key in the configuration in force.
func RateLimit(source config.Source, key allotment.Key) (allotment.Limit, bool) {
	snapshot := source.Current()
	if snapshot == nil {
		return allotment.Limit{}, false
	}
	return limits.RateOf(key, func(account string) (config.Limits, bool) {
		team, name, _ := strings.Cut(account, "/")
		a, known := snapshot.Accounts[config.Ref{Team: team, Name: name}]
		return a.Limits, known
	})
}

// HasRates reports whether an account has a rate limit.
func HasRates(s *config.Snapshot) bool {
	for _, a := range s.Accounts {
		if l := a.Limits; l.RequestsPerSecond > 0 || l.PromptTokensPerSecond > 0 || l.OutputTokensPerSecond > 0 {
			return true
		}
	}
	return false
}

// charges are what a request was charged before it was queued.
type charges []allotment.Charge

// charge charges the request to the rate limits of its account: to all of them, or to none.
func (r *Router) charge(ctx context.Context, p *plan, promptTokens int, generates bool) (charges, error) {
	if r.Allotments == nil {
		return nil, nil
	}
	var out charges
	for _, rate := range limits.Rates(p.accountRef.String(), p.account.Limits, promptTokens, generates) {
		charge, err := r.Allotments.Acquire(ctx, rate.Key, rate.Limit, rate.Cost, 0)
		if err == nil {
			out = append(out, charge)
			continue
		}
		r.refund(out)
		var over *allotments.RefusedError
		if !errors.As(err, &over) {
			return nil, err
		}
		r.Logger.LogAttrs(ctx, slog.LevelInfo, "over allotment", append([]slog.Attr{slog.String("request_id", p.requestID),
			slog.String("account", p.accountRef.String()), slog.String("limit", string(rate.Reason))}, over.Attrs()...)...)
		return nil, &limits.RefusedError{Reason: rate.Reason, RetryAfter: over.RetryAfter}
	}
	return out, nil
}

// refund gives back the charges of a request that did not run.
func (r *Router) refund(c charges) {
	for _, charge := range c {
		r.Allotments.Return(charge)
	}
}

// chargeOutput charges a generated token. The first one was charged before the request ran.
func (r *Router) chargeOutput(p *plan, chunks int) {
	if p.account.Limits.OutputTokensPerSecond > 0 && chunks > 1 && r.Allotments != nil {
		key, limit := limits.OutputRate(p.accountRef.String(), p.account.Limits)
		r.Allotments.Charge(key, limit, 1)
	}
}
