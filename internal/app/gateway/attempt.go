package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/core/retrypolicy"
	"mimosaseam.example/mimosaseam/internal/core/stream"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// wholeAnswerBytes is the size up to which an answer is read whole before it
	// is passed on, so that one that breaks off can be repeated.
	wholeAnswerBytes = 256 << 10
	// copyBytes is the size of one write to a client: about what one read brings.
	copyBytes = 16 << 10
	// probeTimeout bounds the question whether a silent target still lives.
	probeTimeout = 400 * time.Millisecond
)

func (x *exchange) attemptID() string { return x.r.ID + "/" + strconv.Itoa(x.sends) }

// attempt sends the request to the target and relays the answer. An error comes
// with the evidence of what may have happened.
// started is called once the attempt is counted.
func (x *exchange) attempt(ctx context.Context, t Target, started func()) (evidence retrypolicy.Outcome, err error) {
	g, start, id := x.g, x.g.Clock.Now(), x.attemptID()
	ctx, span := g.Tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("target", t.ID), attribute.String("attempt_id", id)))
	defer span.End()
	x.sends++
	x.sentAt = start
	x.lastTarget, x.tried[t.ID] = t.ID, true
	g.Directory.begin(t.ID)
	g.circuits.Started(start, t.ID)
	if x.engine != nil {
		x.score = x.scoreOf(t)
		g.noteWork(x.service, x.score.PrefillMs)
		x.moveParts(start, t)
		g.Placer.Started(start, x.place, t.Address)
		x.tellPeers(t)
		g.Holdings.Expect(start, t.Address, x.cacheScope(t), x.r.Prompt)
	}
	started()
	x.logSend(ctx, t)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := x.watchSilence(ctx, cancel, t)
	status := 0
	defer func() {
		stop()
		x.ended(ctx, t, id, start, evidence, err, x.outcomeOf(ctx, start, status, evidence, err))
	}()
	answer, err := g.Forwarder.Forward(ctx, t.Address, x.forward(t))
	if err != nil {
		return x.unanswered(ctx, t, err)
	}
	defer answer.Body.Close()
	status = answer.Status
	g.Directory.learn(t.ID, x.r.Model, answer)
	if answer.Closing {
		g.Log.Debug("target closes connections", "target", t.ID)
	}
	if answer.Status >= http.StatusInternalServerError && x.mayTryElsewhere() {
		return x.keepFailure(ctx, t, answer)
	}
	if x.route.Kind == gatewayconfig.Streaming && answer.Status == http.StatusOK {
		return x.relayEvents(ctx, t, answer)
	}
	return x.relayWhole(ctx, t, answer)
}

// toldTokens is the number of tokens from which on other routers are told what a
// target has to read: at 30 tokens a ms it is twice the time that a message takes
// to another region and back.
const toldTokens = 1500

// tellPeers tells other routers of a long prompt, so that they do not send
// theirs to the same target meanwhile.
func (x *exchange) tellPeers(t Target) {
	if missed := x.r.PromptTokens - x.score.CachedTokens; missed >= toldTokens && x.g.TellStarted != nil {
		x.g.TellStarted(t.Address, missed)
	}
}

// logSend tells where the request goes and why, so that one can be followed that
// has no end because its router died.
func (x *exchange) logSend(ctx context.Context, t Target) {
	attrs := []slog.Attr{slog.String("request", x.r.ID), slog.String("target", t.ID), slog.Int("send", x.sends),
		slog.Int("in_flight", t.InFlight), slog.Float64("left_ms", ms(x.deadline.Sub(x.g.Clock.Now())))}
	if share := t.Reliability.FailureShare(x.g.Clock.Now()); share > 0 {
		attrs = append(attrs, slog.Float64("failure_share", share))
	}
	if x.engine != nil {
		attrs = append(attrs, slog.String("session", x.session()), slog.Int("prompt_tokens", x.r.PromptTokens),
			slog.Int("cached_tokens", x.score.CachedTokens), slog.Int("elsewhere_tokens", x.elsewhere),
			slog.Float64("queue_ms", x.score.QueueMs), slog.Float64("prefill_ms", x.score.PrefillMs),
			slog.Float64("link_ms", x.score.LinkMs),
			slog.String("reason", x.score.Reason), slog.Int("weights", t.Weights[x.r.Model]))
		if x.fetchFrom != "" || x.saveTo != "" {
			attrs = append(attrs, slog.String("fetch_from", x.fetchFrom), slog.String("save_to", x.saveTo))
		}
	}
	x.g.Log.LogAttrs(ctx, slog.LevelInfo, "sent", attrs...)
}

// mayTryElsewhere reports whether a failure that the target answered with should
// be kept from the client, because another target is tried.
func (x *exchange) mayTryElsewhere() bool {
	h := x.history
	h.Add(retrypolicy.Failed)
	return !x.committed && retrypolicy.MayRetry(x.route, h, retrypolicy.Failed) && x.g.Directory.otherThan(x.service, x.tried)
}

// keepFailure reads a failure that the target answered with. It is passed on when
// no other target answers better.
func (x *exchange) keepFailure(ctx context.Context, t Target, a port.Answer) (retrypolicy.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeAnswerBytes))
	if err != nil {
		return retrypolicy.Unknown, x.silent(ctx, err)
	}
	if len(body) < wholeAnswerBytes {
		x.kept = &keptAnswer{answer: a, body: body}
	}
	return retrypolicy.Failed, &port.BadRequestError{Peer: t.ID, Status: a.Status}
}

// passKept answers with a failure that was kept.
func (x *exchange) passKept() error {
	x.commit(x.kept.answer, int64(len(x.kept.body)))
	if len(x.kept.body) == 0 {
		return nil
	}
	if err := x.sink.Write(x.kept.body); err != nil {
		return &Failure{Kind: KindGone, Cause: err}
	}
	return nil
}

func (x *exchange) forward(t Target) port.Forward {
	f := port.Forward{RequestID: x.r.ID, Method: x.r.Method, URI: x.r.URI, Host: x.r.Host, Header: x.r.Header, Body: x.r.Body,
		Deadline: x.deadline, ExpectTarget: t.ID, CacheScope: x.cacheScope(t),
		ExpectWeights: x.expectWeights, FetchFrom: x.fetchFrom, SaveTo: x.saveTo, Urgency: gatewayconfig.Urgency(x.route, x.account)}
	if f.ExpectWeights == 0 && x.floor > 0 {
		f.ExpectWeights = t.Weights[x.r.Model] // what is believed of the target may be old
	}
	if x.account != nil {
		f.ClientAccount = x.account.Name
	}
	if last, resumed := x.order.Last(); resumed && x.committed {
		f.ResumeAfter = strconv.FormatUint(last, 10)
	}
	return f
}

// cacheScope keeps prompt parts apart that were read under other weights or for
// an isolated account.
func (x *exchange) cacheScope(t Target) string {
	if x.engine == nil {
		return ""
	}
	return "v" + strconv.Itoa(t.Weights[x.r.Model]) + "/" + x.scope
}

// unanswered classifies an attempt without the head of an answer.
func (x *exchange) unanswered(ctx context.Context, t Target, err error) (retrypolicy.Outcome, error) {
	var refused *port.NotRunError
	if errors.As(err, &refused) {
		now := x.g.Clock.Now()
		switch refused.Reason {
		case port.NotRunUnreachable:
			if ctxAlive(ctx) {
				x.g.circuits.Failure(now, t.ID, retry.TargetDown)
			}
		case port.NotRunIncarnationChanged:
			x.g.Directory.Remove(t.ID)
		case port.NotRunWeightsChanged:
			x.g.circuits.SetBusy(t.ID, now.Add(busyFor))
		default:
			x.retryAfter = max(x.retryAfter, refused.RetryAfter)
			x.g.circuits.SetBusy(t.ID, now.Add(busyFor))
		}
		return retrypolicy.NotRun, err
	}
	return retrypolicy.Unknown, x.silent(ctx, err)
}

// silent names the silence of a target as the cause where that ended the attempt.
func (x *exchange) silent(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), ErrSilent) {
		return errors.Join(ErrSilent, err)
	}
	return err
}

// outcomeOf is what an attempt showed of its target, from its answer alone. A request
// that ran out of time says something only when the target had the time within which
// the route expects an answer.
func (x *exchange) outcomeOf(ctx context.Context, start time.Time, status int, evidence retrypolicy.Outcome, err error) outcome {
	switch {
	case status >= http.StatusInternalServerError:
		return outcomeBad
	case err == nil:
		return outcomeGood
	case evidence == retrypolicy.NotRun || clientGone(ctx) || failureOf(err).Kind == KindGone:
		return outcomeNone
	case ctxAlive(ctx) || x.g.Clock.Now().Sub(start) >= x.route.Objective:
		return outcomeBad
	}
	return outcomeNone
}

// ended takes the attempt off all counts.
func (x *exchange) ended(ctx context.Context, t Target, id string, start time.Time, evidence retrypolicy.Outcome, err error, o outcome) {
	g, now := x.g, x.g.Clock.Now()
	cached := -1
	took := time.Duration(0)
	if err == nil {
		cached, took = x.score.CachedTokens, now.Sub(start)
		g.circuits.Success(t.ID)
		g.Fingerprints.Clear(x.fingerprint, true)
	} else if evidence == retrypolicy.Unknown && !clientGone(ctx) && ctxAlive(ctx) {
		x.suspectCrash(now, t)
	}
	if err != nil {
		g.circuits.Ended(t.ID)
	}
	g.Fingerprints.Ended(t.Address, id)
	g.Directory.end(t.ID, took, o)
	if x.engine != nil {
		g.Placer.Finished(now, x.place, t.Address, t.Incarnation(), cached)
	}
}

// ctxAlive reports whether an attempt ended for another reason than its time.
func ctxAlive(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause == nil || errors.Is(cause, ErrSilent)
}

// suspectCrash asks a target that lost an answer whether it still lives. One
// that does not has crashed in the middle of the requests that it ran.
func (x *exchange) suspectCrash(now time.Time, t Target) {
	g := x.g
	if x.engine != nil {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if _, err := g.Control.Status(ctx, t.Address, t.ID); err == nil {
			g.circuits.Failure(now, t.ID, retry.AttemptFailed)
			return
		}
		if g.Fingerprints.Crashed(now, t.Address, string(t.Incarnation())) {
			g.Log.Info("target crashed", "target", t.ID, "request", x.r.ID)
		}
		g.circuits.Failure(now, t.ID, retry.TargetDown)
		return
	}
	g.circuits.Failure(now, t.ID, retry.AttemptFailed)
}

// relayWhole passes an answer on once all of it was read.
func (x *exchange) relayWhole(ctx context.Context, t Target, a port.Answer) (retrypolicy.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeAnswerBytes))
	if err != nil {
		return retrypolicy.Unknown, x.silent(ctx, err)
	}
	whole := len(body) < wholeAnswerBytes
	length := a.Length
	if whole {
		length = int64(len(body))
	}
	x.firstEvent = x.g.Clock.Now().Sub(x.r.Received)
	x.commit(a, length)
	if len(body) > 0 {
		if err := x.sink.Write(body); err != nil {
			return retrypolicy.Unknown, &Failure{Kind: KindGone, Cause: err}
		}
	}
	if whole {
		return 0, nil
	}
	return x.copyRest(t, a)
}

// copyRest relays the rest of a large answer as it comes.
func (x *exchange) copyRest(t Target, a port.Answer) (retrypolicy.Outcome, error) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := a.Body.Read(buffer)
		x.g.Directory.heard(t.ID)
		if n > 0 {
			if err := x.sink.Write(buffer[:n]); err != nil {
				return retrypolicy.Unknown, &Failure{Kind: KindGone, Cause: err}
			}
		}
		if errors.Is(err, io.EOF) {
			return 0, nil
		}
		if err != nil {
			return retrypolicy.Unknown, err
		}
	}
}

func (x *exchange) commit(a port.Answer, length int64) {
	if x.committed {
		return
	}
	x.committed = true
	x.sink.Head(a.Status, a.Header, length)
}

// relayEvents passes on the whole events of a stream as they come. The head goes
// first with the first event, so that until then another target can take over.
func (x *exchange) relayEvents(ctx context.Context, t Target, a port.Answer) (retrypolicy.Outcome, error) {
	events := stream.NewEventReader(a.Body, x.g.WatchedField)
	var batch []byte
	resumed := x.history.Delivered
	for {
		e, err := events.Next()
		x.g.Directory.heard(t.ID)
		if err != nil {
			// Events that were accepted must reach the client, because the stream
			// continues behind them.
			if failed := x.deliver(a, batch); failed != nil {
				return retrypolicy.Unknown, failed
			}
			if errors.Is(err, io.EOF) {
				x.commit(a, x.lengthFor(a))
				return 0, nil
			}
			return retrypolicy.Unknown, x.silent(ctx, err)
		}
		fresh, err := x.order.Accept(e, resumed)
		resumed = resumed && !fresh && err == nil
		if err != nil {
			return retrypolicy.Unknown, errors.Join(err, x.deliver(a, batch))
		}
		if fresh {
			batch = append(batch, e.Bytes...)
			x.noteFirst(t)
		}
		if events.Buffered() && len(batch) < copyBytes {
			continue
		}
		if err := x.deliver(a, batch); err != nil {
			return retrypolicy.Unknown, err
		}
		batch = batch[:0]
	}
}

// deliver passes whole events on.
func (x *exchange) deliver(a port.Answer, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	x.commit(a, x.lengthFor(a))
	x.history.Delivered = true
	if err := x.sink.Write(events); err != nil {
		return &Failure{Kind: KindGone, Cause: err}
	}
	return nil
}

// lengthFor is the size that a stream is announced with: another target may
// continue a resumable one with events of another size.
func (x *exchange) lengthFor(a port.Answer) int64 {
	if x.route.Resumable {
		return -1
	}
	return a.Length
}

func (x *exchange) noteFirst(t Target) {
	now := x.g.Clock.Now()
	if x.firstEvent == 0 {
		x.firstEvent = now.Sub(x.r.Received)
		x.g.Metrics.Observe(MetricFirstEvent, x.firstEvent)
	}
	if x.engine != nil && !x.history.Delivered {
		if x.fetchFrom == "" && !x.sentAt.IsZero() {
			x.g.noteFirstToken(x.service, x.score, x.r.PromptTokens-x.score.CachedTokens, now.Sub(x.sentAt))
		}
		x.sentAt = time.Time{}
		x.g.Placer.FirstToken(now, x.place, t.Address, x.firstEvent)
	}
}
