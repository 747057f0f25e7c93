package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"log/slog"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"mimosaseam.example/mimosaseam/internal/app/atmostonce"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

// MaxReplyBytes bounds the reply of a plain service. Replies are held in
// memory until they are whole, so that a broken one can be asked for again.
const MaxReplyBytes = 8 << 20

// call is one running service request.
type call struct {
	r           *Router
	p           *plan
	req         ServiceRequest
	fingerprint retry.Fingerprint
	tried       map[string]bool
	extra       int
	sent        bool
}

// ServiceCall runs a call to a plain service. It fails with a *Failure.
func (r *Router) ServiceCall(ctx context.Context, req ServiceRequest) (ServiceReply, error) {
	r.Metrics.Add(MetricRequests, 1)
	if !r.drain.enter() {
		r.Metrics.Add(MetricRefused, 1)
		f := failDraining()
		f.Outcome = req.beforeLedger()
		return ServiceReply{}, f
	}
	defer r.drain.leave()
	reply, err := r.serviceCall(ctx, req)
	r.count(err)
	return reply, err
}

// beforeLedger is the outcome of a call that is refused before the ledger was
// asked: a key that was sent before may have run then.
func (req ServiceRequest) beforeLedger() Outcome {
	return outcome(req.IdempotencyKey != "" && !req.First)
}

func (r *Router) serviceCall(ctx context.Context, req ServiceRequest) (ServiceReply, error) {
	p, err := r.planService(req)
	if err != nil {
		f := *asFailure(err)
		f.Outcome = req.beforeLedger()
		return ServiceReply{}, &f
	}
	ctx, cancel := context.WithTimeout(ctx, p.deadline.Sub(r.Clock.Now()))
	defer cancel()
	c := &call{r: r, p: p, req: req, tried: map[string]bool{},
		fingerprint: retry.FingerprintOf(req.Account.String(), "service", req.Route, req.Method, req.Path, string(req.Body))}
	permit, err := r.admit(ctx, p, 0, 0)
	if err != nil {
		return ServiceReply{}, c.end(ctx, err)
	}
	defer permit.Release()
	r.budget(p.routeRef).Earn(r.Clock.Now(), p.route.RetryBudgetPercent, reserve(p.pool))
	var reply ServiceReply
	if p.route.Repeat == config.RepeatNever {
		reply, err = c.once(ctx)
	} else {
		reply, err = c.attempts(ctx, r.newID, true)
	}
	if err != nil {
		r.Fingerprints.Publish(r.Clock.Now(), c.fingerprint)
		return ServiceReply{}, c.end(ctx, err)
	}
	return reply, nil
}

func (r *Router) planService(req ServiceRequest) (*plan, error) {
	p, err := r.planRoute(req.Account, func(name string, route config.Route) bool {
		return name == req.Route && route.Model == ""
	})
	if err != nil {
		return nil, err
	}
	if p.route.Repeat == config.RepeatNever && (req.IdempotencyKey == "" || req.KeyCreated.IsZero()) {
		return nil, &Failure{Kind: KindInvalid, Outcome: OutcomeNotRun,
			Message: "calls of this route need an Idempotency-Key whose age is known"}
	}
	p.setDeadline(r.Clock.Now(), req.Deadline)
	p.place = placement.Request{
		Scope:       port.Scope{ClientAccount: req.Account.String(), Model: p.poolRef.Name},
		PromptBytes: len(req.Body),
		Weights:     placement.Weights{CrossRegionMsPerMiB: p.route.Weights.CrossRegionMsPerMiB},
	}
	return p, nil
}

// once runs a call that may not be repeated. The caller's leaving does not
// stop it, so that its outcome is recorded and answers the caller's repeat.
func (c *call) once(ctx context.Context) (ServiceReply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.p.deadline.Sub(c.r.Clock.Now()))
	defer cancel()
	out, err := c.r.Runner.Run(ctx, atmostonce.Request{
		Key: atmostonce.Key{ClientAccount: c.req.Account.String(), Value: c.req.IdempotencyKey,
			CreatedAt: c.req.KeyCreated},
		BodyHash: bodyHash(c.req), Route: c.p.routeRef.String(), First: c.req.First,
		Retention: time.Duration(c.p.route.KeyRetentionS) * time.Second,
		Deadline:  c.p.deadline,
		// A target that only refuses stale fencing tokens may have run the attempt
		// before it was lost, so it does not make a call resendable.
		Resendable: c.p.pool.DeduplicatesKeys,
	}, c.dispatch)
	return ServiceReply{Status: out.Status, Header: out.Header, Body: out.Body}, err
}

// dispatch sends the one attempt of a call that may not be repeated. It goes on
// to another target only when a target states that the call did not run.
func (c *call) dispatch(ctx context.Context, attemptID string) (atmostonce.Outcome, error) {
	sentBefore := c.sent
	c.sent = false
	reply, err := c.attempts(ctx, func() string { return attemptID }, false)
	sent := c.sent
	c.sent = sent || sentBefore
	if err == nil {
		return atmostonce.Outcome{Status: reply.Status, Header: reply.Header, Body: reply.Body}, nil
	}
	var unknown *port.UnknownOutcomeError
	if sent {
		if errors.As(err, &unknown) {
			return atmostonce.Outcome{}, unknown
		}
		return atmostonce.Outcome{}, &port.UnknownOutcomeError{Peer: c.p.poolRef.String(), Cause: err}
	}
	var notRun *port.NotRunError
	if errors.As(err, &notRun) {
		return atmostonce.Outcome{}, notRun
	}
	return atmostonce.Outcome{}, &port.NotRunError{Target: c.p.poolRef.String(), Reason: port.NotRunUnreachable, Cause: err}
}

func bodyHash(req ServiceRequest) string {
	h := sha256.New()
	for _, part := range []string{req.Method, req.Path} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// attempts runs attempts until one is answered. Attempts whose outcome is
// unknown are repeated only when repeat is set.
func (c *call) attempts(ctx context.Context, newID func() string, repeat bool) (ServiceReply, error) {
	for {
		chosen, err := c.r.choose(ctx, c.p, filter{tried: c.tried, fingerprint: c.fingerprint}, newID(), placeWait)
		if err != nil {
			return ServiceReply{}, err
		}
		c.tried[chosen.target.Address] = true
		reply, err := c.attempt(ctx, chosen.target, chosen.attempt)
		if err == nil {
			return reply, nil
		}
		v := c.failed(ctx, chosen, err)
		if v == verdictStop || ctx.Err() != nil || c.sent && !repeat {
			return ServiceReply{}, err
		}
		if c.extra >= maxFailuresInRow || !c.r.budget(c.p.routeRef).Spend(c.r.Clock.Now(), reserve(c.p.pool)) {
			return ServiceReply{}, err
		}
		c.extra++
		c.r.Metrics.Add(MetricExtraAttempts, 1)
		if ctxtime.Sleep(ctx, retry.Backoff(c.extra, c.r.Random.Float64())) != nil {
			return ServiceReply{}, err
		}
	}
}

// attempt sends one attempt and reads the whole reply.
func (c *call) attempt(ctx context.Context, t target, id string) (ServiceReply, error) {
	r := c.r
	now := r.Clock.Now()
	ctx, span := r.Tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("target", t.Name), attribute.String("attempt_id", id)))
	defer span.End()
	if t.Incarnation == "" {
		t.Incarnation = r.identify(ctx, c.p.pool, t)
	}
	r.limits.StartTarget(t.Address)
	defer r.limits.EndTarget(t.Address)
	r.circuits.Started(now, t.Address)
	r.Placer.Started(now, c.p.place, t.Address)
	r.Metrics.Add(MetricAttempts, 1)
	defer func() { r.Placer.Finished(r.Clock.Now(), c.p.place, t.Address, t.Incarnation, -1) }()
	reply, err := c.send(ctx, t, id)
	var stalled *StalledError
	switch {
	case errors.As(err, &stalled):
		r.stalled(c.p.pool, t, t.Incarnation, r.ask(ctx, c.p.pool, t, t.Incarnation))
	case err != nil && ctx.Err() != nil:
		r.circuits.Ended(t.Address) // the caller's leaving says nothing of the target
	case err != nil && !notRun(err):
		// The request stays among the running ones until it is known whether the
		// target crashed with it.
		r.examine(ctx, c.p.pool, t, t.Incarnation)
	}
	r.Fingerprints.Ended(t.Address, id)
	if err != nil {
		span.SetStatus(codes.Error, logText(err))
		return ServiceReply{}, err
	}
	r.circuits.Success(t.Address)
	r.Fingerprints.Clear(c.fingerprint, true)
	return reply, nil
}

// attemptTimeout is how long an attempt may take. A call that may be repeated is
// repeated when the connection may be silent; each attempt gets twice the time of
// the one before, because the service may just be slow.
func (c *call) attemptTimeout() time.Duration {
	left := c.p.deadline.Sub(c.r.Clock.Now())
	if c.p.route.Repeat == config.RepeatNever {
		return left
	}
	return min(c.p.stallTimeout()<<c.extra, left)
}

// send sends the call and reads the whole reply in time.
func (c *call) send(ctx context.Context, t target, id string) (ServiceReply, error) {
	timeout := c.attemptTimeout()
	attempt, cancel := context.WithTimeout(c.connection(ctx, t), timeout)
	defer cancel()
	reply, err := c.exchange(attempt, t, id)
	if err != nil && !notRun(err) && attempt.Err() != nil && ctx.Err() == nil {
		return reply, &StalledError{Target: t.Name, After: timeout}
	}
	return reply, err
}

// connection avoids pooled connections, which may be silent, for calls that
// cannot be repeated and for repeats.
func (c *call) connection(ctx context.Context, t target) context.Context {
	return c.r.connection(ctx, t.Address, c.extra > 0 || c.p.route.Repeat == config.RepeatNever)
}

func (c *call) exchange(ctx context.Context, t target, id string) (ServiceReply, error) {
	token, _ := atmostonce.FencingToken(ctx)
	reply, err := c.r.Service.Call(ctx, t.Address, port.Call{
		RequestID: c.req.RequestID, AttemptID: id, Method: c.req.Method, Path: c.req.Path,
		Header: c.req.Header, Body: c.req.Body, IdempotencyKey: c.req.IdempotencyKey, FencingToken: token,
		Deadline: c.p.deadline,
	})
	if err != nil {
		return ServiceReply{}, err
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(reply.Body, MaxReplyBytes+1))
	if err != nil {
		return ServiceReply{}, &port.UnknownOutcomeError{Peer: t.Name, Cause: err}
	}
	if len(body) > MaxReplyBytes {
		return ServiceReply{}, &ReplyTooLargeError{Target: t.Name, Limit: MaxReplyBytes}
	}
	return ServiceReply{Status: reply.Status, Header: reply.Header, Body: body}, nil
}

// notRun reports whether the error says that the target did not run the call.
func notRun(err error) bool {
	var refused *port.NotRunError
	var bad *port.BadRequestError
	var limited *port.RateLimitedError
	var unavailable *port.UnavailableError
	return errors.As(err, &refused) || errors.As(err, &bad) || errors.As(err, &limited) || errors.As(err, &unavailable)
}

// failed records what the failure says of the target.
func (c *call) failed(ctx context.Context, chosen claim, err error) verdict {
	t := chosen.target
	c.r.Metrics.Add(MetricAttemptFailures, 1)
	c.r.Logger.InfoContext(ctx, "attempt failed", slog.String("request_id", c.req.RequestID),
		slog.String("account", c.req.Account.String()), slog.String("target", t.Name),
		slog.String("attempt_id", chosen.attempt), slog.String("error", logText(err)))
	if !notRun(err) {
		c.sent = true
		var large *ReplyTooLargeError
		if errors.As(err, &large) {
			return verdictStop
		}
		return verdictRetry
	}
	return c.r.judgeRefusal(t, err)
}

// end turns whatever stopped the call into a *Failure. Of a call that may not be
// repeated, only the ledger can say that it did not run, unless the caller
// states that it never sent the key before.
func (c *call) end(ctx context.Context, err error) error {
	var f *Failure
	if !errors.As(err, &f) {
		f = failureOf(ctx, err, c.sent)
	}
	if c.p.route.Repeat != config.RepeatNever {
		return f
	}
	ledger := failureOfRunner(err, c.req.First)
	switch {
	case ledger == nil && !c.sent:
		f.Outcome = c.req.beforeLedger()
	case ledger != nil && f.Kind == KindCrashSuspect:
		f.Outcome = ledger.Outcome
	case ledger != nil:
		return ledger
	}
	return f
}
