package router

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/core/stream"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

// completion is one running completion request.
type completion struct {
	r           *Router
	p           *plan
	req         CompletionRequest
	sink        Sink
	permit      *limits.Permit
	fingerprint retry.Fingerprint

	asm    stream.Assembler
	events chan event
	probes chan *probeResult
	// event and probe hold what wait received last.
	event       event
	probe       *probeResult
	stall       *time.Timer
	quarantines <-chan struct{} // closed when some request is quarantined
	relay       trace.Span      // from the first chunk on
	// active holds the attempts under way: one, or two while a hedge waits for
	// its first token.
	active []*attempt
	tried  map[string]bool
	// weights is the version that every attempt must serve.
	weights       string
	attempts      int
	begun         time.Time
	failuresInRow int // extra attempts since the last progress
	replaced      int
	stalls        int
	hedged        bool
	// sent is set once an attempt may have run.
	sent   bool
	last   string // target of the last delivered chunk
	lastOf error  // cause of the last failed attempt
}

// maxFailuresInRow bounds the extra attempts of one request without progress, so
// that a request which fails everywhere is refused soon and leaves the route's
// budget to others.
const maxFailuresInRow = 4

// clearAfter is the number of chunks beyond its last crash after which a
// request no longer counts as a crash suspect. Chunks that were on their way
// when the target crashed are well below it.
const clearAfter = 16

// maxFreeReplacements bounds the placements that a request repeats without
// spending budget because a target refused an outdated expectation.
const maxFreeReplacements = 4

// Completion runs a completion and relays its chunks to the sink. It returns
// when the response is whole, or fails with a *Failure.
func (r *Router) Completion(ctx context.Context, req CompletionRequest, sink Sink) (Completion, error) {
	r.Metrics.Add(MetricRequests, 1)
	if !r.drain.enter() {
		r.Metrics.Add(MetricRefused, 1)
		return Completion{}, failDraining()
	}
	defer r.drain.leave()
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

// newCompletion plans a request. Like every step before the first chunk, it is
// a function of its own: the frames between the server and wait are what the
// stack of each open stream holds, and a stack that holds less than a quarter
// of its size is halved.
func (r *Router) newCompletion(req CompletionRequest, sink Sink) (*completion, error) {
	p, err := r.planCompletion(req)
	if err != nil {
		return nil, err
	}
	return &completion{r: r, p: p, req: req, sink: sink, begun: r.Clock.Now(),
		events: make(chan event), probes: make(chan *probeResult, 2),
		tried: map[string]bool{}, weights: p.place.Scope.WeightsVersion,
		fingerprint: retry.FingerprintOf(req.Account.String(), req.Model, req.Prompt),
		quarantines: r.Fingerprints.NextQuarantine()}, nil
}

// serve runs the request within its deadline.
func (c *completion) serve(ctx context.Context) error {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	if err := c.enter(ctx); err != nil {
		return c.end(ctx, err)
	}
	defer c.leave()
	err := c.run(ctx)
	if err == nil {
		return nil
	}
	c.r.Fingerprints.Publish(c.r.Clock.Now(), c.fingerprint)
	return c.end(ctx, err)
}

// withDeadline is not inlined, because its frame would stay on the stack of the
// open stream and keep the stack at 16 KiB.
//
//go:noinline
func (c *completion) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.p.deadline.Sub(c.r.Clock.Now()))
}

// enter waits for the permit to run. After a success leave must be called.
func (c *completion) enter(ctx context.Context) (err error) {
	r, p := c.r, c.p
	if r.Fingerprints.Quarantined(r.Clock.Now(), c.fingerprint) {
		return ErrQuarantined
	}
	if c.permit, err = r.admit(ctx, p, p.place.PromptTokens, c.req.MaxTokens); err != nil {
		return err
	}
	r.budget(p.routeRef).Earn(r.Clock.Now(), p.route.RetryBudgetPercent, reserve(p.pool))
	c.stall = time.NewTimer(idleWait)
	return nil
}

func (c *completion) leave() {
	c.stall.Stop()
	c.permit.Release()
}

func (c *completion) result() Completion {
	return Completion{FinishReason: c.asm.FinishReason(), Usage: c.asm.Usage(), Attempts: c.attempts, Target: c.last}
}

// admit waits in the queue until the request may run.
func (r *Router) admit(ctx context.Context, p *plan, promptTokens, outputTokens int) (*limits.Permit, error) {
	_, span := r.Tracer.Start(ctx, "admit")
	defer span.End()
	start := r.Clock.Now()
	m := r.members(p)
	permit, err := r.limits.Acquire(ctx, limits.Request{
		Account: p.accountRef.String(), Limits: p.account.Limits, Weight: p.account.Share,
		Pool: p.poolRef.String(), Targets: m.working, Members: m.workingIndex, Unavailable: r.withoutCircuit(m), Slots: p.pool.Slots, Priority: p.route.Priority,
		PromptTokens: promptTokens, OutputTokens: outputTokens, Deadline: p.deadline,
	})
	r.Metrics.Observe(MetricQueueWait, r.Clock.Now().Sub(start))
	return permit, err
}

// run drives the attempts until the response is whole. It leaves no attempt
// running.
func (c *completion) run(ctx context.Context) error {
	defer c.stop(ctx)
	for {
		if len(c.active) == 0 {
			if err := c.next(ctx); err != nil {
				return err
			}
		}
		done, err := c.step(ctx)
		if done || err != nil {
			return err
		}
	}
}

// stop ends the attempts that are still running and the relay.
func (c *completion) stop(ctx context.Context) {
	for len(c.active) > 0 {
		c.abandon(ctx, c.active[0])
	}
	if c.relay != nil {
		c.relay.SetAttributes(attribute.Int("chunks", c.asm.Chunks()))
		c.relay.End()
	}
	c.r.Metrics.Add(MetricChunks, int64(c.asm.Chunks()))
}

// next places and starts the next attempt.
func (c *completion) next(ctx context.Context) error {
	wait := placeWait
	if c.asm.Chunks() > 0 {
		wait = resumeWait
	}
	chosen, err := c.r.choose(ctx, c.p, c.filter(), c.r.newID(), wait)
	if err != nil {
		return err
	}
	c.startAttempt(ctx, chosen)
	return nil
}

func (c *completion) filter() filter {
	return filter{tried: c.tried, fingerprint: c.fingerprint, weights: c.weights}
}

func (c *completion) handle(ctx context.Context, e *event) (done bool, err error) {
	switch {
	case !c.isActive(e.a):
		return false, nil
	case e.err != nil:
		return false, c.failed(ctx, e.a, ended(e.err))
	case e.identified != "":
		e.a.incarnation = e.identified
		return false, nil
	case e.opened != nil:
		return false, c.opened(ctx, e.a, e.opened)
	}
	fresh, err := c.asm.Accept(e.chunk)
	if err != nil {
		return false, c.failed(ctx, e.a, err)
	}
	if !fresh {
		return false, nil
	}
	return c.deliver(ctx, e.a, e.chunk)
}

func (c *completion) isActive(a *attempt) bool {
	for _, other := range c.active {
		if other == a {
			return true
		}
	}
	return false
}

// opened takes what the engine says of itself with the response headers.
func (c *completion) opened(ctx context.Context, a *attempt, s port.ChunkStream) error {
	a.opened = true
	a.incarnation, a.weights = s.Incarnation(), s.WeightsVersion()
	c.sent = true
	c.r.Targets.Observe(a.target.Address, a.incarnation, a.weights, coldStart(c.p.pool))
	if c.weights == "" || a.weights == "" || a.weights == c.weights {
		return nil
	}
	c.abandon(ctx, a)
	if len(c.active) > 0 {
		return nil
	}
	return c.replace(ctx, &port.NotRunError{Target: a.target.Name, Reason: port.NotRunWeightsChanged})
}

// replace places the request again without spending budget, within bounds,
// because placement relied on a state that is gone.
func (c *completion) replace(ctx context.Context, cause error) error {
	if c.replaced >= maxFreeReplacements {
		return c.pay(ctx, cause)
	}
	c.replaced++
	if c.asm.Chunks() == 0 {
		c.r.setScope(c.p, c.req)
		c.weights = c.p.place.Scope.WeightsVersion
	}
	return nil
}

// deliver relays a new chunk. The first chunk of an attempt ends all others.
func (c *completion) deliver(ctx context.Context, a *attempt, chunk port.Chunk) (done bool, err error) {
	now := c.r.Clock.Now()
	if !a.delivered {
		a.delivered = true
		c.r.Placer.FirstToken(now, c.p.place, a.target.Address, now.Sub(a.started))
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
		c.r.Metrics.Observe(MetricFirstToken, now.Sub(c.begun))
	}
	c.last = a.target.Name
	c.failuresInRow = 0
	if a.chunks++; a.chunks == clearAfter {
		c.r.Fingerprints.Clear(c.fingerprint, false)
	}
	c.permit.ChargeOutput(1)
	if err := c.sink.Chunk(ctx, chunk); err != nil {
		return false, &callerGoneError{Cause: err}
	}
	a.progress = c.r.Clock.Now()
	a.progressTimeout = c.p.stallTimeout()
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
	c.r.Fingerprints.Clear(c.fingerprint, true)
	c.endAttempt(a, cached)
	return true, nil
}

// failed handles the failure of one attempt: it ends the request, or leaves it
// to run on with another attempt.
func (c *completion) failed(ctx context.Context, a *attempt, cause error) error {
	c.lastOf = cause
	v := c.failAttempt(ctx, a, cause)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if c.r.Fingerprints.Quarantined(c.r.Clock.Now(), c.fingerprint) {
		return eris.Wrap(ErrQuarantined, logText(cause))
	}
	if v == verdictStop {
		return cause
	}
	if len(c.active) > 0 {
		return nil
	}
	if v == verdictReplace {
		delete(c.tried, a.target.Address) // it is as good as any other
		c.r.observe(ctx, c.p.pool, a.target)
		return c.replace(ctx, cause)
	}
	return c.pay(ctx, cause)
}

// pay takes an extra attempt from the route's budget and waits the backoff.
func (c *completion) pay(ctx context.Context, cause error) error {
	if c.failuresInRow >= maxFailuresInRow {
		return c.fail(KindUnavailable, "several attempts in a row failed", cause)
	}
	if !c.r.budget(c.p.routeRef).Spend(c.r.Clock.Now(), reserve(c.p.pool)) {
		return c.fail(KindUnavailable, "the route's retry budget is spent", cause)
	}
	c.failuresInRow++
	c.r.Metrics.Add(MetricExtraAttempts, 1)
	return ctxtime.Sleep(ctx, retry.Backoff(c.failuresInRow, c.r.Random.Float64()))
}

// firstTokenTimeout is how long the first token may take before the attempt is
// probed: the stall timeout beyond twice what placement expects.
func (c *completion) firstTokenTimeout(s placement.Score) time.Duration {
	expected := s.QueueMs + s.PrefillMs + s.LinkMs + s.ColdMs
	return c.p.stallTimeout() + time.Duration(2*max(expected, 0)*float64(time.Millisecond))
}

func (c *completion) log(a *attempt) *slog.Logger {
	return c.r.Logger.With(slog.String("request_id", c.req.RequestID), slog.String("account", c.req.Account.String()),
		slog.String("target", a.target.Name), slog.String("attempt_id", a.id))
}

// callerGoneError says that the sink no longer takes chunks.
type callerGoneError struct{ Cause error }

func (e *callerGoneError) Error() string { return "the caller left: " + e.Cause.Error() }
func (e *callerGoneError) Unwrap() error { return e.Cause }

// end turns whatever stopped the request into a *Failure.
func (c *completion) end(ctx context.Context, err error) error {
	var f *Failure
	if !errors.As(err, &f) {
		f = failureOf(ctx, err, c.sent)
	}
	if c.asm.Chunks() > 0 && f.Kind == KindUnavailable {
		f.Kind, f.Message = KindBroken, "the response broke off and could not be resumed"
	}
	return f
}

func (c *completion) fail(kind Kind, message string, cause error) error {
	return &Failure{Kind: kind, Message: message, Outcome: outcome(c.sent), Cause: cause, RetryAfter: retryAfter(kind)}
}
