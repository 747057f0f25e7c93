package completions

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/core/stream"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

// completion is one running completion request.
type completion struct {
	r           *Router
	plan        *plan
	req         CompletionRequest
	sink        Sink
	admission   *admission
	fingerprint retry.Fingerprint
	segments    []retry.SegmentHash

	asm    stream.Assembler
	events chan attemptEvent
	probes chan *probeResult
	// event and probe hold the last values received by wait.
	event       attemptEvent
	probe       *probeResult
	stall       *time.Timer
	quarantines <-chan struct{} // closed when any request is quarantined
	relay       trace.Span      // started with the first chunk
	// active holds the running attempts: one, or two while a hedged request waits
	// for its first token.
	active []*attempt
	tried  map[string]bool
	// weights is the weights version that every attempt requires.
	weights             string
	attempts            int
	startedAt           time.Time
	consecutiveFailures int // extra attempts since the last new chunk
	reschedules         int
	stalls              int
	hedged              bool
	// mayHaveRun is set once an attempt may have run on its target.
	mayHaveRun bool
	lastTarget string // name of the target of the last delivered chunk
	lastErr    error  // cause of the last failed attempt
}

// maxConsecutiveFailures limits the extra attempts of one request without progress,
// so that a request which fails on every target ends early and leaves the route's
// retry budget to others.
const maxConsecutiveFailures = 4

// clearAfterChunks is the number of chunks from one attempt after which a request
// is no longer a crash suspect. It is well above the number of chunks that can be
// in flight when a target crashes.
const clearAfterChunks = 16

// maxFreeReschedules limits how often a request is placed again without spending
// retry budget because a target no longer matched the expected state.
const maxFreeReschedules = 4

// Completion runs a completion and relays its chunks to the sink. It returns when
// the response is complete, or with a *Failure.
func (r *Router) Completion(ctx context.Context, req CompletionRequest, sink Sink) (Completion, error) {
	r.Metrics.Add(MetricRequests, 1)
	if !r.requests.start() {
		r.Metrics.Add(MetricRefused, 1)
		return Completion{}, drainingFailure()
	}
	defer r.requests.finish()
	c, err := r.newCompletion(req, sink)
	if err == nil {
		err = c.serve(ctx)
	}
	r.count(err)
	if err != nil {
		return Completion{}, err
	}
	return c.result(), nil
}

// newCompletion plans a request. Like every step before the first chunk, it is a
// separate function to keep the stacks of open streams small: an open stream holds
// only the frames between the server and wait, and the runtime halves a stack that
// uses less than a quarter of its size.
func (r *Router) newCompletion(req CompletionRequest, sink Sink) (*completion, error) {
	p, err := r.planCompletion(req)
	if err != nil {
		return nil, err
	}
	return &completion{r: r, plan: p, req: req, sink: sink, startedAt: r.Clock.Now(),
		events: make(chan attemptEvent), probes: make(chan *probeResult, 2),
		tried: map[string]bool{}, weights: p.placement.Scope.WeightsVersion,
		fingerprint: retry.FingerprintOf(req.Account.String(), req.Model, req.Prompt), segments: retry.PrefixSegments(req.Prompt),
		quarantines: r.CrashTracker.NextQuarantine()}, nil
}

// serve admits and runs the request within its deadline.
func (c *completion) serve(ctx context.Context) error {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	if err := c.acquire(ctx); err != nil {
		return c.toFailure(ctx, err)
	}
	defer c.release()
	running := c.r.durations.Start(c.plan.routeRef.String(), c.r.Clock.Now())
	err := c.run(ctx)
	c.r.durations.End(running, c.r.Clock.Now(), err == nil)
	if err == nil {
		return nil
	}
	c.r.CrashTracker.Publish(c.r.Clock.Now(), c.fingerprint)
	return c.toFailure(ctx, err)
}

// withDeadline must not be inlined: its frame would stay on the stack of the open
// stream and keep that stack at 16 KiB.
//
//go:noinline
func (c *completion) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, c.plan.deadline.Sub(c.r.Clock.Now()))
	ctx, release := c.r.untilStopped(ctx)
	return ctx, func() {
		release()
		cancel()
	}
}

// acquire waits for a permit to run. After a success, release must be called.
func (c *completion) acquire(ctx context.Context) (err error) {
	r, p := c.r, c.plan
	if r.refused(r.Clock.Now(), c.filter()) {
		return ErrQuarantined
	}
	if err := r.checkStop(p); err != nil {
		return err
	}
	if c.admission, err = r.admit(ctx, p, admissionRequest{requestID: c.req.RequestID, fingerprint: c.fingerprint,
		promptTokens: p.placement.PromptTokens, outputTokens: c.req.MaxTokens, generates: true}); err != nil {
		return err
	}
	r.budget(p.routeRef).Earn(r.Clock.Now(), p.route.RetryBudgetPercent, budgetReserve(p.pool))
	c.stall = time.NewTimer(noTimeout)
	return nil
}

func (c *completion) release() {
	c.stall.Stop()
	c.admission.permit.Release()
	if !c.mayHaveRun {
		c.r.refund(c.admission.charges)
	}
}

func (c *completion) result() Completion {
	return Completion{FinishReason: c.asm.FinishReason(), Usage: c.asm.Usage(), Attempts: c.attempts, Target: c.lastTarget}
}

// run starts and supervises attempts until the response is complete. No attempt is
// still active when it returns.
func (c *completion) run(ctx context.Context) error {
	defer c.stop(ctx)
	for {
		if len(c.active) == 0 {
			if err := c.startNext(ctx); err != nil {
				return err
			}
		}
		done, err := c.step(ctx)
		if done || err != nil {
			return err
		}
	}
}

// stop abandons the active attempts and ends the relay span.
func (c *completion) stop(ctx context.Context) {
	for len(c.active) > 0 {
		c.abandonUnanswered(ctx, c.active[0])
	}
	if c.relay != nil {
		c.relay.SetAttributes(attribute.Int("chunks", c.asm.Chunks()))
		c.relay.End()
	}
	c.r.Metrics.Add(MetricChunks, int64(c.asm.Chunks()))
}

// startNext places and starts the next attempt.
func (c *completion) startNext(ctx context.Context) error {
	if !c.mayHaveRun {
		if err := c.r.checkStop(c.plan); err != nil {
			return err
		}
	}
	wait := maxPlacementWait
	if c.asm.Chunks() > 0 {
		wait = maxResumeWait
	}
	chosen, err := c.r.claimTarget(ctx, c.plan, c.filter(), c.r.newID(), wait)
	if err != nil {
		return err
	}
	c.startAttempt(ctx, chosen)
	return nil
}

func (c *completion) filter() filter {
	return filter{tried: c.tried, fingerprint: c.fingerprint, segments: c.segments, weights: c.weights}
}

func (c *completion) handleEvent(ctx context.Context, e *attemptEvent) (done bool, err error) {
	switch {
	case !c.isActive(e.attempt):
		return false, nil
	case e.err != nil:
		return false, c.handleFailure(ctx, e.attempt, streamEndError(e.err))
	case e.incarnation != "":
		e.attempt.incarnation = e.incarnation
		return false, nil
	case e.stream != nil:
		return false, c.handleOpened(ctx, e.attempt, e.stream)
	}
	fresh, err := c.asm.Accept(e.chunk)
	if err != nil {
		return false, c.handleFailure(ctx, e.attempt, err)
	}
	if !fresh {
		return false, nil
	}
	return c.deliver(ctx, e.attempt, e.chunk)
}

func (c *completion) isActive(a *attempt) bool {
	for _, other := range c.active {
		if other == a {
			return true
		}
	}
	return false
}

// handleOpened records the incarnation and weights version that the engine sent
// with the response headers, and abandons the attempt if the weights are wrong.
func (c *completion) handleOpened(ctx context.Context, a *attempt, s port.ChunkStream) error {
	a.incarnation, a.weights = s.Incarnation(), s.WeightsVersion()
	c.r.SegmentTracker.SetIncarnation(a.target.Address, a.id, string(a.incarnation))
	c.mayHaveRun = true
	c.r.Targets.Observe(a.target.Address, a.incarnation, a.weights, coldStart(c.plan.pool))
	if c.weights == "" || a.weights == "" || a.weights == c.weights {
		return nil
	}
	c.abandon(ctx, a)
	if len(c.active) > 0 {
		return nil
	}
	return c.reschedule(ctx, &port.NotRunError{Target: a.target.Name, Reason: port.NotRunWeightsChanged})
}

// reschedule lets the request be placed again because placement relied on outdated
// target state. It spends no retry budget for the first maxFreeReschedules times.
func (c *completion) reschedule(ctx context.Context, cause error) error {
	if c.reschedules >= maxFreeReschedules {
		return c.retryWithinBudget(ctx, cause)
	}
	c.reschedules++
	if c.asm.Chunks() == 0 {
		c.r.setPlacement(c.plan, c.req)
		c.weights = c.plan.placement.Scope.WeightsVersion
	}
	return nil
}

// deliver relays a new chunk. The first chunk of an attempt abandons all other
// attempts.
func (c *completion) deliver(ctx context.Context, a *attempt, chunk port.Chunk) (done bool, err error) {
	now := c.r.Clock.Now()
	if !a.delivered {
		a.delivered = true
		c.r.SegmentTracker.Answering(now, a.target.Address, a.id)
		c.r.Placer.FirstToken(now, c.plan.placement, a.target.Address, now.Sub(a.started))
		c.r.circuits.Success(a.target.Address)
		for _, other := range append([]*attempt(nil), c.active...) {
			if other != a {
				c.abandon(ctx, other)
			}
		}
		if a.weights != "" {
			c.weights = a.weights
		}
	}
	if c.relay == nil {
		_, c.relay = c.r.Tracer.Start(ctx, "relay")
		c.r.Metrics.Observe(MetricFirstToken, now.Sub(c.startedAt))
	}
	c.lastTarget = a.target.Name
	c.consecutiveFailures = 0
	if a.chunks++; a.chunks == clearAfterChunks {
		c.r.CrashTracker.Clear(c.fingerprint, false)
	}
	c.r.chargeOutput(c.plan, c.asm.Chunks())
	if err := c.sink.Chunk(ctx, chunk); err != nil {
		return false, &callerDisconnectedError{Cause: err}
	}
	a.lastProgress = c.r.Clock.Now()
	a.progressTimeout = c.plan.stallTimeout()
	a.probing = false
	if !c.asm.Complete() {
		return false, nil
	}
	cached := -1
	if chunk.Usage != nil {
		cached = chunk.Usage.CachedTokens
		c.r.Metrics.Add(MetricPromptTokens, int64(chunk.Usage.PromptTokens))
		c.r.Metrics.Add(MetricCachedTokens, int64(cached))
	}
	c.r.CrashTracker.Clear(c.fingerprint, true)
	a.end = retry.Answered
	c.endAttempt(a, cached)
	return true, nil
}

// handleFailure handles the failure of one attempt. It returns an error if the
// request ends, or nil if it continues with another attempt.
func (c *completion) handleFailure(ctx context.Context, a *attempt, cause error) error {
	c.lastErr = cause
	action := c.failAttempt(ctx, a, cause)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if c.r.refused(c.r.Clock.Now(), c.filter()) {
		return eris.Wrap(ErrQuarantined, logText(cause))
	}
	if action == actionFail {
		return cause
	}
	if len(c.active) > 0 {
		return nil
	}
	if action == actionReschedule {
		delete(c.tried, a.target.Address) // the target did not fail, so it stays a candidate
		c.r.refreshTarget(ctx, c.plan.pool, a.target)
		return c.reschedule(ctx, cause)
	}
	return c.retryWithinBudget(ctx, cause)
}

// retryWithinBudget spends one extra attempt of the route's retry budget and waits
// for the backoff.
func (c *completion) retryWithinBudget(ctx context.Context, cause error) error {
	if c.consecutiveFailures >= maxConsecutiveFailures {
		return c.newFailure(KindUnavailable, "several attempts in a row failed", cause)
	}
	if !c.r.budget(c.plan.routeRef).Spend(c.r.Clock.Now(), budgetReserve(c.plan.pool)) {
		return c.newFailure(KindUnavailable, "the route's retry budget is spent", cause)
	}
	c.consecutiveFailures++
	c.r.Metrics.Add(MetricExtraAttempts, 1)
	return ctxtime.Sleep(ctx, retry.Backoff(c.consecutiveFailures, c.r.Random.Float64()))
}

// firstTokenTimeout is how long the first token may take before the target is
// probed: the stall timeout plus twice the time that placement estimates.
func (c *completion) firstTokenTimeout(s placement.Score) time.Duration {
	expected := s.QueueMs + s.PrefillMs + s.LinkMs + s.ColdMs
	return c.plan.stallTimeout() + time.Duration(2*max(expected, 0)*float64(time.Millisecond))
}

func (c *completion) log(a *attempt) *slog.Logger {
	return c.r.Logger.With(slog.String("request_id", c.req.RequestID), slog.String("account", c.req.Account.String()),
		slog.String("target", a.target.Name), slog.String("attempt_id", a.id))
}

// callerDisconnectedError means that the sink no longer accepts chunks.
type callerDisconnectedError struct{ Cause error }

func (e *callerDisconnectedError) Error() string { return "caller disconnected: " + e.Cause.Error() }
func (e *callerDisconnectedError) Unwrap() error { return e.Cause }

// toFailure converts the error that ended the request to a *Failure.
func (c *completion) toFailure(ctx context.Context, err error) error {
	var f *Failure
	if !errors.As(err, &f) {
		f = failureFromError(ctx, err, c.mayHaveRun)
	}
	if c.asm.Chunks() > 0 && (f.Kind == KindUnavailable || f.Kind == KindInvalid) {
		// A target that refuses the rest does not make the request invalid.
		f.Kind, f.Message = KindBroken, "the response broke off and could not be resumed"
	}
	return f
}

func (c *completion) newFailure(kind Kind, message string, cause error) error {
	return &Failure{Kind: kind, Message: message, Outcome: outcome(c.mayHaveRun), Cause: cause, RetryAfter: retryAfter(kind)}
}
