package router

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
	"mimosaseam.example/mimosaseam/internal/port"
)

// attempt is one try of a completion on one target. Its reader goroutine sends
// events that carry the attempt itself, so an answer can only reach the request
// that sent it.
type attempt struct {
	id     string
	target target
	score  placement.Score
	ctx    context.Context
	cancel context.CancelFunc
	span   trace.Span

	started time.Time
	// progress is the time of the last new chunk, or of the start.
	progress time.Time
	// progressTimeout is the time without progress after which the attempt is probed.
	progressTimeout time.Duration
	probing         bool
	extended        int
	opened          bool
	delivered       bool
	chunks          int // delivered from this attempt
	incarnation     port.Incarnation
	weights         string
}

// event is one step of an attempt: its target identified, opened, a chunk, or its
// end.
type event struct {
	a          *attempt
	identified port.Incarnation
	opened     port.ChunkStream
	chunk      port.Chunk
	err        error
}

// startAttempt registers the attempt with all that follows running work and
// sends it.
func (c *completion) startAttempt(ctx context.Context, chosen claim) {
	r, t := c.r, chosen.target
	now := r.Clock.Now()
	a := &attempt{id: chosen.attempt, target: t, score: chosen.score, started: now, progress: now,
		progressTimeout: c.firstTokenTimeout(chosen.score), incarnation: t.Incarnation}
	ctx, a.span = r.Tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("target", t.Name), attribute.String("attempt_id", a.id)))
	a.ctx, a.cancel = context.WithCancel(r.connection(ctx, t.Address, c.stalls > 0))
	c.attempts++
	c.active = append(c.active, a)
	c.tried[t.Address] = true
	r.limits.StartTarget(t.Address)
	r.circuits.Started(now, t.Address)
	r.Placer.Started(now, c.p.place, t.Address)
	r.Metrics.Add(MetricAttempts, 1)
	go c.read(a, c.generation(a))
}

func (c *completion) generation(a *attempt) port.Generation {
	from, text := c.asm.ResumePoint()
	g := port.Generation{
		RequestID: c.req.RequestID, AttemptID: a.id, Model: c.p.route.Model, Prompt: c.req.Prompt,
		MaxTokens: c.req.MaxTokens, Priority: c.p.route.Priority, Scope: c.p.place.Scope,
		Deadline: c.p.deadline, ExpectWeights: c.weights, ResumeFrom: from, ResumeText: text,
	}
	if a.score.CachedTokens > 0 {
		g.ExpectIncarnation = a.target.Incarnation
	}
	return g
}

// read runs one attempt and sends its events until the attempt is over or
// abandoned. The channel has no buffer, so a slow caller stops the reading.
func (c *completion) read(a *attempt, g port.Generation) {
	if a.target.Incarnation == "" {
		if inc := c.r.identify(a.ctx, c.p.pool, a.target); inc != "" && !c.send(event{a: a, identified: inc}) {
			return
		}
	}
	stream, err := c.r.Engine.Generate(a.ctx, a.target.Address, g)
	if err != nil {
		c.send(event{a: a, err: err})
		return
	}
	defer func() { _ = stream.Close() }()
	if !c.send(event{a: a, opened: stream}) {
		return
	}
	for {
		chunk, err := stream.Next()
		if !c.send(event{a: a, chunk: chunk, err: err}) || err != nil {
			return
		}
	}
}

func (c *completion) send(e event) bool {
	select {
	case c.events <- e:
		return true
	case <-e.a.ctx.Done():
		return false
	}
}

// endAttempt takes the attempt out of all that follows running work.
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
	r.Fingerprints.Ended(a.target.Address, a.id)
	r.Placer.Finished(r.Clock.Now(), c.p.place, a.target.Address, a.incarnation, cachedTokens)
}

// abandon ends an attempt that may still be running and tells the engine to
// stop it over a fresh connection.
func (c *completion) abandon(ctx context.Context, a *attempt) {
	c.sent = true
	c.endAttempt(a, -1)
	c.r.circuits.Ended(a.target.Address)
	ctx, cancel := context.WithTimeout(port.WithFreshConnection(context.WithoutCancel(ctx)), cancelTimeout)
	go func() {
		defer cancel()
		if err := c.r.Engine.Cancel(ctx, a.target.Address, a.id); err != nil {
			c.log(a).Info("cancel failed", slog.Any("error", err))
		}
	}()
}

// failAttempt ends an attempt that failed and records what the failure says
// of its target. It returns whether a further attempt may help.
func (c *completion) failAttempt(ctx context.Context, a *attempt, err error) verdict {
	c.log(a).Info("attempt failed", slog.String("error", logText(err)), slog.Int("chunks", c.asm.Chunks()))
	a.span.SetStatus(codes.Error, logText(err))
	c.r.Metrics.Add(MetricAttemptFailures, 1)
	v := verdictRetry
	if notRun(err) {
		v = c.r.judgeRefusal(a.target, err)
	} else {
		c.sent = true
		if ctx.Err() == nil {
			c.r.examine(ctx, c.p.pool, a.target, a.incarnation)
		}
	}
	c.endAttempt(a, -1)
	return v
}

// verdict says how a request goes on after a failed attempt.
type verdict int

const (
	// verdictRetry asks for another attempt, at the cost of the budget.
	verdictRetry verdict = iota
	// verdictReplace asks for a new placement that costs nothing, because
	// placement relied on a state that is gone.
	verdictReplace
	// verdictStop ends the request; no target would take it.
	verdictStop
)

// judgeRefusal records what the failure of an attempt that did not run says of
// its target.
func (r *Router) judgeRefusal(t target, err error) verdict {
	var refused *port.NotRunError
	var bad *port.BadRequestError
	var limited *port.RateLimitedError
	switch {
	case errors.As(err, &bad):
		r.circuits.Ended(t.Address)
		return verdictStop
	case errors.As(err, &limited):
		r.setBusy(t.Address, limited.RetryAfter)
		return verdictRetry
	case !errors.As(err, &refused) || refused.Reason == port.NotRunUnreachable:
		r.circuits.Failure(r.Clock.Now(), t.Address, retry.TargetDown)
		r.Placer.Drop(t.Address)
		return verdictRetry
	case refused.Reason == port.NotRunIncarnationChanged || refused.Reason == port.NotRunWeightsChanged:
		r.Placer.Drop(t.Address)
		r.circuits.Ended(t.Address)
		r.Metrics.Add(MetricExpectationFailed, 1)
		return verdictReplace
	}
	r.setBusy(t.Address, refused.RetryAfter)
	return verdictRetry
}

// busyDefault is the time for which a target that refused for lack of capacity
// gets no work when it names no time itself; about ten tokens of a batch.
const busyDefault = 250 * time.Millisecond

func (r *Router) setBusy(target string, after time.Duration) {
	if after <= 0 {
		after = busyDefault
	}
	r.circuits.SetBusy(target, r.Clock.Now().Add(after))
}

// ErrEarlyEnd means that an engine ended a stream without a failure and without
// its terminal mark.
var ErrEarlyEnd = eris.New("the stream ended before its terminal mark")

// ended turns the end of a stream without a terminal mark into a failure.
func ended(err error) error {
	if errors.Is(err, io.EOF) {
		err = ErrEarlyEnd
	}
	return err
}
