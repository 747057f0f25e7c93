package completions

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/panics"
	"mimosaseam.example/mimosaseam/internal/port"
)

// attempt is one attempt of a completion on one target. Its goroutine sends events
// that refer to the attempt, so a response can only reach the request that sent it.
type attempt struct {
	id     string
	target target
	score  placement.Score
	ctx    context.Context
	cancel context.CancelFunc
	span   trace.Span

	started time.Time
	// lastProgress is the time of the last new chunk, initially the start time.
	lastProgress time.Time
	// progressTimeout is the time without progress after which the target is probed.
	progressTimeout time.Duration
	probing         bool
	extensions      int
	delivered       bool
	end             retry.AttemptEnd
	chunks          int // delivered by this attempt
	incarnation     port.Incarnation
	weights         string
}

// attemptEvent reports one step of an attempt: the incarnation of its target, the
// opened stream, a chunk, or the error that ended it. Only the fields of that step are
// set.
type attemptEvent struct {
	attempt     *attempt
	incarnation port.Incarnation
	stream      port.ChunkStream
	chunk       port.Chunk
	err         error
}

// startAttempt registers the attempt with the limits, the circuit breakers and the
// placer, and sends it.
func (c *completion) startAttempt(ctx context.Context, chosen claim) {
	r, t := c.r, chosen.target
	now := r.Clock.Now()
	a := &attempt{id: chosen.attemptID, target: t, score: chosen.score, started: now, lastProgress: now,
		progressTimeout: c.firstTokenTimeout(chosen.score), incarnation: t.Incarnation}
	ctx, a.span = r.Tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("target", t.Name), attribute.String("attempt_id", a.id)))
	a.ctx, a.cancel = context.WithCancel(r.connectionContext(ctx, t.Address, c.stalls > 0))
	c.attempts++
	c.active = append(c.active, a)
	c.tried[t.Address] = true
	r.limits.StartTarget(t.Address)
	r.circuits.Started(now, t.Address)
	r.Placer.Started(now, c.plan.placement, t.Address)
	r.Metrics.Add(MetricAttempts, 1)
	go c.runAttempt(a, c.newGeneration(a))
}

func (c *completion) newGeneration(a *attempt) port.Generation {
	from, text := c.asm.ResumePoint()
	g := port.Generation{
		RequestID: c.req.RequestID, AttemptID: a.id, Model: c.plan.route.Model, Prompt: c.req.Prompt,
		MaxTokens: c.req.MaxTokens, Priority: c.plan.route.Priority, Scope: c.plan.placement.Scope,
		Deadline: c.plan.deadline, ExpectWeights: c.weights, ResumeFrom: from, ResumeText: text,
	}
	if a.score.CachedTokens > 0 {
		g.ExpectIncarnation = a.target.Incarnation
	}
	return g
}

// runAttempt runs one attempt and sends its events until it ends or is abandoned.
// The channel is unbuffered, so a slow caller pauses reading from the engine.
func (c *completion) runAttempt(a *attempt, g port.Generation) {
	if a.target.Incarnation == "" {
		if inc := c.r.learnIncarnation(a.ctx, c.plan.pool, a.target); inc != "" && !c.sendEvent(attemptEvent{attempt: a, incarnation: inc}) {
			return
		}
	}
	stream, err := c.r.Engine.Generate(a.ctx, a.target.Address, g)
	if err != nil {
		c.sendEvent(attemptEvent{attempt: a, err: err})
		return
	}
	defer func() { _ = stream.Close() }()
	if !c.sendEvent(attemptEvent{attempt: a, stream: stream}) {
		return
	}
	for {
		chunk, err := stream.Next()
		if !c.sendEvent(attemptEvent{attempt: a, chunk: chunk, err: err}) || err != nil {
			return
		}
	}
}

func (c *completion) sendEvent(e attemptEvent) bool {
	select {
	case c.events <- e:
		return true
	case <-e.attempt.ctx.Done():
		return false
	}
}

// endAttempt removes the attempt from everything that startAttempt registered it
// with.
func (c *completion) endAttempt(a *attempt, cachedTokens int) {
	for i, other := range c.active {
		if other == a {
			c.active = append(c.active[:i], c.active[i+1:]...)
			break
		}
	}
	r := c.r
	a.cancel()
	a.span.End()
	r.limits.EndTarget(a.target.Address)
	r.CrashTracker.Ended(a.target.Address, a.id)
	r.SegmentTracker.Ended(r.Clock.Now(), a.target.Address, a.id, a.end)
	r.Placer.Finished(r.Clock.Now(), c.plan.placement, a.target.Address, a.incarnation, cachedTokens)
}

// abandonUnanswered abandons an attempt whose target did not answer in time.
func (c *completion) abandonUnanswered(ctx context.Context, a *attempt) {
	a.end = retry.Unanswered
	c.abandon(ctx, a)
}

// abandon ends an attempt that may still be running and cancels it on the engine
// over a fresh connection.
func (c *completion) abandon(ctx context.Context, a *attempt) {
	c.mayHaveRun = true
	c.endAttempt(a, -1)
	c.r.circuits.Ended(a.target.Address)
	ctx, cancel := context.WithTimeout(port.WithFreshConnection(context.WithoutCancel(ctx)), cancelTimeout)
	go func() {
		defer panics.Catch(c.r.Logger, "cancel of an attempt", "attempt_id", a.id)
		defer cancel()
		if err := c.r.Engine.Cancel(ctx, a.target.Address, a.id); err != nil {
			c.log(a).Info("failed to cancel attempt", slog.Any("error", err))
		}
	}()
}

// failAttempt ends a failed attempt and updates the state of its target. It
// returns how the request continues.
func (c *completion) failAttempt(ctx context.Context, a *attempt, err error) failureAction {
	c.log(a).Info("attempt failed", slog.String("error", logText(err)), slog.Int("chunks", c.asm.Chunks()))
	a.span.SetStatus(codes.Error, logText(err))
	c.r.Metrics.Add(MetricAttemptFailures, 1)
	action := actionRetry
	if notRun(err) {
		action = c.r.handleRefusal(a.target, err)
	} else {
		c.mayHaveRun = true
		a.end = retry.Unanswered
		if ctx.Err() == nil {
			c.r.probeAfterFailure(ctx, c.plan.pool, a.target, a.incarnation)
		}
	}
	c.endAttempt(a, -1)
	return action
}

// failureAction is how a request continues after a failed attempt.
type failureAction int

const (
	// actionRetry starts another attempt that spends retry budget.
	actionRetry failureAction = iota
	// actionReschedule places the request again without spending retry budget,
	// because placement relied on outdated target state.
	actionReschedule
	// actionFail ends the request, because no target would accept it.
	actionFail
)

// handleRefusal updates the state of a target that did not run an attempt.
func (r *Router) handleRefusal(t target, err error) failureAction {
	var refused *port.NotRunError
	var bad *port.BadRequestError
	var limited *port.RateLimitedError
	switch {
	case errors.As(err, &bad):
		r.circuits.Ended(t.Address)
		return actionFail
	case errors.As(err, &limited):
		r.setBusy(t.Address, limited.RetryAfter)
		return actionRetry
	case errors.Is(err, context.Canceled):
		r.circuits.Ended(t.Address) // the caller left while the connection was set up
		return actionRetry
	case !errors.As(err, &refused) || refused.Reason == port.NotRunUnreachable:
		r.circuits.Failure(r.Clock.Now(), t.Address, retry.TargetDown)
		r.Placer.DropCache(t.Address)
		if port.ProvesRestart(err) {
			r.recordEnd(t, t.Incarnation)
		}
		return actionRetry
	case refused.Reason == port.NotRunIncarnationChanged || refused.Reason == port.NotRunWeightsChanged:
		r.Placer.DropCache(t.Address)
		r.circuits.Ended(t.Address)
		r.Metrics.Add(MetricExpectationFailed, 1)
		return actionReschedule
	}
	r.setBusy(t.Address, refused.RetryAfter)
	return actionRetry
}

// defaultBusyTime is how long a target that refused a request for lack of capacity
// gets no work if it sent no retry delay: about the time to decode ten tokens in a
// batch.
const defaultBusyTime = 250 * time.Millisecond

func (r *Router) setBusy(target string, after time.Duration) {
	if after <= 0 {
		after = defaultBusyTime
	}
	r.circuits.SetBusy(target, r.Clock.Now().Add(after))
}

// ErrEarlyEnd means that an engine closed a stream cleanly but without a terminal
// marker.
var ErrEarlyEnd = eris.New("stream ended before its terminal marker")

// streamEndError replaces io.EOF, which is unexpected before the terminal marker,
// by ErrEarlyEnd.
func streamEndError(err error) error {
	if errors.Is(err, io.EOF) {
		err = ErrEarlyEnd
	}
	return err
}
