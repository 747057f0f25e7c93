package completions

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"mimosaseam.example/mimosaseam/internal/app/atmostonce"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

// MaxReplyBytes limits the reply of a plain service. Replies are buffered until they
// are complete, so that a call whose reply fails midway can be retried.
const MaxReplyBytes = 8 << 20

// replyMemory bounds the replies that are being read, of all calls together: a quarter of the
// memory of a node.
const replyMemory = 32 << 20

// call is one running service call.
type call struct {
	r           *Router
	plan        *plan
	req         ServiceRequest
	fingerprint retry.Fingerprint
	tried       map[string]bool
	retries     int
	mayHaveRun  bool
}

// ServiceCall runs a call to a plain service. Its errors are of type *Failure.
func (r *Router) ServiceCall(ctx context.Context, req ServiceRequest) (ServiceReply, error) {
	r.Metrics.Add(MetricRequests, 1)
	if !r.requests.start() {
		r.Metrics.Add(MetricRefused, 1)
		f := drainingFailure()
		f.Outcome = req.outcomeBeforeLedger()
		return ServiceReply{}, f
	}
	defer r.requests.finish()
	reply, err := r.serviceCall(ctx, req)
	r.count(err)
	return reply, err
}

// outcomeBeforeLedger returns the outcome of a call that is refused before the
// ledger is read: if the key was sent before, that call may have run.
func (req ServiceRequest) outcomeBeforeLedger() Outcome {
	return outcome(req.IdempotencyKey != "" && !req.First)
}

func (r *Router) serviceCall(ctx context.Context, req ServiceRequest) (ServiceReply, error) {
	p, err := r.planService(req)
	if err != nil {
		f := *asFailure(err)
		f.Outcome = req.outcomeBeforeLedger()
		return ServiceReply{}, &f
	}
	ctx, cancel := context.WithTimeout(ctx, p.deadline.Sub(r.Clock.Now()))
	defer cancel()
	ctx, release := r.untilStopped(ctx)
	defer release()
	c := &call{r: r, plan: p, req: req, tried: map[string]bool{},
		fingerprint: retry.FingerprintOf(req.Account.String(), "service", req.Route, req.Method, req.Path, string(req.Body))}
	if err := r.checkStop(p); err != nil {
		return ServiceReply{}, c.toFailure(ctx, err)
	}
	admitted, err := r.admit(ctx, p, admissionRequest{requestID: req.RequestID, fingerprint: c.fingerprint})
	if err != nil {
		return ServiceReply{}, c.toFailure(ctx, err)
	}
	defer admitted.permit.Release()
	r.budget(p.routeRef).Earn(r.Clock.Now(), p.route.RetryBudgetPercent, budgetReserve(p.pool))
	var reply ServiceReply
	if p.route.Repeat == config.RepeatNever {
		reply, err = c.runOnce(ctx)
	} else {
		reply, err = c.runAttempts(ctx, r.newID, true)
	}
	if err != nil {
		r.CrashTracker.Publish(r.Clock.Now(), c.fingerprint)
		err = c.toFailure(ctx, err)
		if asFailure(err).Outcome == OutcomeNotRun {
			r.refund(admitted.charges)
		}
		return ServiceReply{}, err
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
	p.requestID = req.RequestID
	p.setDeadline(r.Clock.Now(), req.Deadline)
	p.placement = placement.Request{
		Scope:       port.Scope{ClientAccount: req.Account.String(), Model: p.poolRef.Name},
		PromptBytes: len(req.Body),
		Service:     p.poolRef.String(),
		Route:       p.routeRef.String(),
		Weights:     placement.Weights{CrossRegionMsPerMiB: p.route.Weights.CrossRegionMsPerMiB},
	}
	return p, nil
}

// runOnce runs a call that must run at most once. It is not cancelled when the caller
// disconnects, so that its outcome is recorded and can be returned if the caller
// retries with the same key.
func (c *call) runOnce(ctx context.Context) (ServiceReply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.plan.deadline.Sub(c.r.Clock.Now()))
	defer cancel()
	ctx, release := c.r.untilStopped(ctx)
	defer release()
	out, err := c.r.Runner.Run(ctx, atmostonce.Request{
		Key: atmostonce.Key{ClientAccount: c.req.Account.String(), Value: c.req.IdempotencyKey,
			CreatedAt: c.req.KeyCreated},
		BodyHash: bodyHash(c.req), Route: c.plan.routeRef.String(), First: c.req.First,
		Retention: time.Duration(c.plan.route.KeyRetentionS) * time.Second,
		Deadline:  c.plan.deadline,
		// A target that only rejects stale fencing tokens may have run the attempt
		// before the connection was lost, so it does not make the call resendable.
		Resendable: c.plan.pool.DeduplicatesKeys,
	}, c.dispatch)
	return ServiceReply{Status: out.Status, Header: out.Header, Body: out.Body}, err
}

// dispatch sends the single attempt of a call that must run at most once. It tries
// another target only if a target reports that the call did not run.
func (c *call) dispatch(ctx context.Context, attemptID string) (atmostonce.Outcome, error) {
	mayHaveRunBefore := c.mayHaveRun
	c.mayHaveRun = false
	reply, err := c.runAttempts(ctx, func() string { return attemptID }, false)
	mayHaveRun := c.mayHaveRun
	c.mayHaveRun = mayHaveRun || mayHaveRunBefore
	if err == nil {
		return atmostonce.Outcome{Status: reply.Status, Header: reply.Header, Body: reply.Body}, nil
	}
	var unknown *port.UnknownOutcomeError
	if mayHaveRun {
		if errors.As(err, &unknown) {
			return atmostonce.Outcome{}, unknown
		}
		return atmostonce.Outcome{}, &port.UnknownOutcomeError{Peer: c.plan.poolRef.String(), Cause: err}
	}
	var notRun *port.NotRunError
	if errors.As(err, &notRun) {
		return atmostonce.Outcome{}, notRun
	}
	return atmostonce.Outcome{}, &port.NotRunError{Target: c.plan.poolRef.String(), Reason: port.NotRunUnreachable, Cause: err}
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

// runAttempts runs attempts until one succeeds. Attempts with an unknown outcome are
// retried only if retryUnknown is set.
func (c *call) runAttempts(ctx context.Context, newID func() string, retryUnknown bool) (ServiceReply, error) {
	for {
		if !c.mayHaveRun {
			if err := c.r.checkStop(c.plan); err != nil {
				return ServiceReply{}, err
			}
		}
		chosen, err := c.r.claimTarget(ctx, c.plan, filter{tried: c.tried, fingerprint: c.fingerprint}, newID(), maxPlacementWait)
		if err != nil {
			return ServiceReply{}, err
		}
		c.tried[chosen.target.Address] = true
		reply, err := c.runAttempt(ctx, chosen.target, chosen.attemptID)
		if err == nil {
			return reply, nil
		}
		action := c.recordFailure(ctx, chosen, err)
		if action == actionFail || ctx.Err() != nil || c.mayHaveRun && !retryUnknown {
			return ServiceReply{}, err
		}
		if c.retries >= maxConsecutiveFailures || !c.r.budget(c.plan.routeRef).Spend(c.r.Clock.Now(), budgetReserve(c.plan.pool)) {
			return ServiceReply{}, err
		}
		c.retries++
		c.r.Metrics.Add(MetricExtraAttempts, 1)
		if ctxtime.Sleep(ctx, retry.Backoff(c.retries, c.r.Random.Float64())) != nil {
			return ServiceReply{}, err
		}
	}
}

// runAttempt sends one attempt and reads the complete reply.
func (c *call) runAttempt(ctx context.Context, t target, id string) (ServiceReply, error) {
	r := c.r
	now := r.Clock.Now()
	ctx, span := r.Tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("target", t.Name), attribute.String("attempt_id", id)))
	defer span.End()
	if t.Incarnation == "" {
		t.Incarnation = r.learnIncarnation(ctx, c.plan.pool, t)
	}
	r.limits.StartTarget(t.Address)
	defer r.limits.EndTarget(t.Address)
	r.circuits.Started(now, t.Address)
	r.SegmentTracker.SetIncarnation(t.Address, id, string(t.Incarnation))
	r.Placer.Started(now, c.plan.placement, t.Address)
	r.Metrics.Add(MetricAttempts, 1)
	answered := -1
	defer func() { r.Placer.Finished(r.Clock.Now(), c.plan.placement, t.Address, t.Incarnation, answered) }()
	running := r.durations.Start(c.plan.routeRef.String(), now)
	reply, err := c.sendWithTimeout(ctx, t, id)
	r.durations.End(running, r.Clock.Now(), err == nil && reply.Status < http.StatusMultipleChoices)
	var stalled *StalledError
	switch {
	case errors.As(err, &stalled):
		r.recordStall(c.plan.pool, t, t.Incarnation, r.probe(ctx, c.plan.pool, t, t.Incarnation))
	case err != nil && (ctx.Err() != nil || isOverMemory(err)):
		r.circuits.Ended(t.Address) // the caller disconnected or this router is short of memory: the target did not fail
	case err != nil && !notRun(err):
		// The request stays registered as running until the probe shows whether the
		// target crashed.
		r.probeAfterFailure(ctx, c.plan.pool, t, t.Incarnation)
	}
	r.CrashTracker.Ended(t.Address, id)
	r.SegmentTracker.Ended(r.Clock.Now(), t.Address, id, callEnd(reply, err))
	if err != nil {
		span.SetStatus(codes.Error, logText(err))
		return ServiceReply{}, err
	}
	r.circuits.Success(t.Address)
	if reply.Status < http.StatusInternalServerError {
		answered = 0
		r.CrashTracker.Clear(c.fingerprint, true)
	}
	return reply, nil
}

// isOverMemory reports whether a reply was given up for lack of memory, though it may be within
// the limit.
func isOverMemory(err error) bool {
	var large *ReplyTooLargeError
	return errors.As(err, &large) && large.Limit < MaxReplyBytes
}

// callEnd returns how an attempt ended that has this result.
func callEnd(reply ServiceReply, err error) retry.AttemptEnd {
	switch {
	case err == nil && reply.Status < http.StatusInternalServerError:
		return retry.Answered
	case err != nil && !notRun(err):
		return retry.Unanswered
	}
	return retry.Unjudged
}

// attemptTimeout returns how long an attempt may take. A retryable call is retried
// after the stall timeout, because its connection may be unresponsive. Each retry
// gets twice the time of the attempt before, because the service may just be slow.
func (c *call) attemptTimeout() time.Duration {
	left := c.plan.deadline.Sub(c.r.Clock.Now())
	if c.plan.route.Repeat == config.RepeatNever {
		return left
	}
	return min(c.plan.stallTimeout()<<c.retries, left)
}

// sendWithTimeout sends the call and reads the complete reply within the attempt
// timeout.
func (c *call) sendWithTimeout(ctx context.Context, t target, id string) (ServiceReply, error) {
	timeout := c.attemptTimeout()
	attemptCtx, cancel := context.WithTimeout(c.connectionContext(ctx, t), timeout)
	defer cancel()
	reply, err := c.exchange(attemptCtx, t, id)
	if err != nil && !notRun(err) && attemptCtx.Err() != nil && ctx.Err() == nil {
		return reply, &StalledError{Target: t.Name, After: timeout}
	}
	return reply, err
}

// connectionContext avoids pooled connections, which may be unresponsive, for calls
// that must run at most once and for retries.
func (c *call) connectionContext(ctx context.Context, t target) context.Context {
	return c.r.connectionContext(ctx, t.Address, c.retries > 0 || c.plan.route.Repeat == config.RepeatNever)
}

func (c *call) exchange(ctx context.Context, t target, id string) (ServiceReply, error) {
	token, _ := atmostonce.FencingToken(ctx)
	reply, err := c.r.Service.Call(ctx, t.Address, port.Call{
		RequestID: c.req.RequestID, AttemptID: id, Method: c.req.Method, Path: c.req.Path,
		Header: c.req.Header, Body: c.req.Body, IdempotencyKey: c.req.IdempotencyKey, FencingToken: token,
		Deadline: c.plan.deadline,
	})
	if err != nil {
		return ServiceReply{}, err
	}
	defer func() { _ = reply.Body.Close() }()
	memory := limits.Allowance(c.r.replies)
	if c.req.Memory != nil {
		memory = c.req.Memory
	}
	b := limits.NewBuffer(memory, MaxReplyBytes+1)
	whole, err := b.Read(reply.Body)
	if err == nil && whole && c.req.Memory != nil {
		return ServiceReply{Status: reply.Status, Header: reply.Header, Body: b.Bytes()}, nil
	}
	defer b.Free()
	if err != nil {
		return ServiceReply{}, &port.UnknownOutcomeError{Peer: t.Name, Cause: err}
	}
	if !whole {
		return ServiceReply{}, &ReplyTooLargeError{Target: t.Name, Limit: min(len(b.Bytes()), MaxReplyBytes)}
	}
	return ServiceReply{Status: reply.Status, Header: reply.Header, Body: bytes.Clone(b.Bytes())}, nil
}

// notRun reports whether the error means that the target did not run the attempt.
func notRun(err error) bool {
	var refused *port.NotRunError
	var bad *port.BadRequestError
	var limited *port.RateLimitedError
	var unavailable *port.UnavailableError
	return errors.As(err, &refused) || errors.As(err, &bad) || errors.As(err, &limited) || errors.As(err, &unavailable)
}

// recordFailure updates the state of the target after a failed attempt and returns
// how the call continues.
func (c *call) recordFailure(ctx context.Context, chosen claim, err error) failureAction {
	t := chosen.target
	c.r.Metrics.Add(MetricAttemptFailures, 1)
	c.r.Logger.InfoContext(ctx, "attempt failed", slog.String("request_id", c.req.RequestID),
		slog.String("account", c.req.Account.String()), slog.String("target", t.Name),
		slog.String("attempt_id", chosen.attemptID), slog.String("error", logText(err)))
	if !notRun(err) {
		c.mayHaveRun = true
		var large *ReplyTooLargeError
		if errors.As(err, &large) {
			return actionFail
		}
		return actionRetry
	}
	return c.r.handleRefusal(t, err)
}

// toFailure converts the error that ended the call to a *Failure. For a call that
// must run at most once, only the ledger can confirm that it did not run, unless the
// caller states that it has not sent the key before.
func (c *call) toFailure(ctx context.Context, err error) error {
	var f *Failure
	if !errors.As(err, &f) {
		f = failureFromError(ctx, err, c.mayHaveRun)
	}
	if c.plan.route.Repeat != config.RepeatNever {
		return f
	}
	runnerFailure := failureFromRunner(err, c.req.First)
	switch {
	case runnerFailure == nil && !c.mayHaveRun:
		f.Outcome = c.req.outcomeBeforeLedger()
	case runnerFailure != nil && f.Kind == KindCrashSuspect:
		f.Outcome = runnerFailure.Outcome
	case runnerFailure != nil:
		return runnerFailure
	}
	return f
}
