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

	"mimosaseam.example/mimosaseam/internal/core/fate"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/core/site"
	"mimosaseam.example/mimosaseam/internal/core/stream"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// maxBufferedBytes is the size up to which a response is buffered before it is
	// relayed, so that the request can be retried if the response breaks off.
	maxBufferedBytes = 256 << 10
	// copyBufferBytes is the size of one write to a client, about that of one read.
	copyBufferBytes = 16 << 10
	// probeTimeout bounds the status request to an unresponsive target.
	probeTimeout = 400 * time.Millisecond
)

func (x *exchange) attemptID() string { return x.r.ID + "/" + strconv.Itoa(x.sends) }

// attempt sends the request to the target and relays the response. With an error, it
// returns the evidence of whether the request ran.
// started is called once the attempt is counted.
func (x *exchange) attempt(ctx context.Context, t Target, started func()) (evidence fate.Evidence, err error) {
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
		g.observeWork(x.service, x.score.PrefillMs)
		x.planTransfers(start, t)
		g.Placer.Started(start, x.placeRequest, t.Address)
		x.announcePrefill(t)
		g.CacheContents.Expect(start, t.Address, x.cacheScope(t), x.r.Prompt)
	}
	started()
	x.logSend(ctx, t)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := x.watchLiveness(ctx, cancel, t)
	status := 0
	defer func() {
		stop()
		x.finishAttempt(ctx, t, id, start, evidence, err, x.outcomeOf(ctx, start, status, evidence, err))
	}()
	answer, err := g.Forwarder.Forward(ctx, t.Address, x.forward(t))
	if err != nil {
		return x.classifyError(ctx, t, err)
	}
	defer answer.Body.Close()
	status = answer.Status
	g.Directory.observeHeaders(t.ID, x.r.Model, answer)
	if answer.Closing {
		g.Log.Debug("target closes connections", "target", t.ID)
	}
	if answer.Status >= http.StatusInternalServerError && x.canRetryElsewhere() {
		return x.holdFailure(ctx, t, answer)
	}
	if x.route.Kind == site.Streaming && answer.Status == http.StatusOK {
		return x.relayEvents(ctx, t, answer)
	}
	return x.relayBuffered(ctx, t, answer)
}

// minAnnouncedTokens is the smallest uncached prompt that is announced to other routers:
// at 30 tokens a ms its prefill takes twice the round trip to another region.
const minAnnouncedTokens = 1500

// announcePrefill announces a long prefill to the other routers, so that they avoid the
// target meanwhile.
func (x *exchange) announcePrefill(t Target) {
	if uncached := x.r.PromptTokens - x.score.CachedTokens; uncached >= minAnnouncedTokens && x.g.AnnouncePrefill != nil {
		x.g.AnnouncePrefill(t.Address, uncached)
	}
}

// logSend logs the target of an attempt and the inputs of the choice, so that a request
// can be traced even if its router dies before it ends.
func (x *exchange) logSend(ctx context.Context, t Target) {
	attrs := []slog.Attr{slog.String("request", x.r.ID), slog.String("target", t.ID), slog.Int("send", x.sends),
		slog.Int("in_flight", t.InFlight), slog.Float64("left_ms", ms(x.deadline.Sub(x.g.Clock.Now())))}
	if share := t.Reliability.FailureShare(x.g.Clock.Now()); share > 0 {
		attrs = append(attrs, slog.Float64("failure_share", share))
	}
	if x.engine != nil {
		attrs = append(attrs, slog.String("session", x.session()), slog.Int("prompt_tokens", x.r.PromptTokens),
			slog.Int("cached_tokens", x.score.CachedTokens), slog.Int("elsewhere_tokens", x.cachedElsewhere),
			slog.Float64("queue_ms", x.score.QueueMs), slog.Float64("prefill_ms", x.score.PrefillMs),
			slog.Float64("link_ms", x.score.LinkMs),
			slog.String("reason", x.score.Reason), slog.Int("weights", t.Weights[x.r.Model]))
		if x.fetchFrom != "" || x.saveTo != "" {
			attrs = append(attrs, slog.String("fetch_from", x.fetchFrom), slog.String("save_to", x.saveTo))
		}
	}
	x.g.Log.LogAttrs(ctx, slog.LevelInfo, "sent", attrs...)
}

// canRetryElsewhere reports whether the target's error response should be held back from
// the client because the request can be retried on another target.
func (x *exchange) canRetryElsewhere() bool {
	h := x.history
	h.Add(fate.Failed)
	return !x.committed && fate.MayRepeat(x.route, h, fate.Failed) && x.g.Directory.hasOther(x.service, x.tried)
}

// holdFailure buffers the target's error response. It is relayed if no other target
// gives a better one.
func (x *exchange) holdFailure(ctx context.Context, t Target, a port.Answer) (fate.Evidence, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBytes))
	if err != nil {
		return fate.Unknown, x.markUnresponsive(ctx, err)
	}
	if len(body) < maxBufferedBytes {
		x.held = &bufferedResponse{answer: a, body: body}
	}
	return fate.Failed, &port.BadRequestError{Peer: t.ID, Status: a.Status}
}

// sendHeldFailure relays the error response that was held back.
func (x *exchange) sendHeldFailure() error {
	x.commit(x.held.answer, int64(len(x.held.body)))
	if len(x.held.body) == 0 {
		return nil
	}
	if err := x.sink.Write(x.held.body); err != nil {
		return &Failure{Kind: KindClientGone, Cause: err}
	}
	return nil
}

func (x *exchange) forward(t Target) port.Forward {
	f := port.Forward{RequestID: x.r.ID, Method: x.r.Method, URI: x.r.URI, Host: x.r.Host, Header: x.r.Header, Body: x.r.Body,
		Deadline: x.deadline, ExpectTarget: t.ID, CacheScope: x.cacheScope(t),
		ExpectWeights: x.expectWeights, FetchFrom: x.fetchFrom, SaveTo: x.saveTo, Priority: site.Urgency(x.route, x.account)}
	if f.ExpectWeights == 0 && x.minWeights > 0 {
		f.ExpectWeights = t.Weights[x.r.Model] // the known version may be out of date
	}
	if x.account != nil {
		f.ClientAccount = x.account.Name
	}
	if last, resumed := x.order.Last(); resumed && x.committed {
		f.ResumeAfter = strconv.FormatUint(last, 10)
	}
	return f
}

// cacheScope separates KV cache entries by weights version and by isolated account.
func (x *exchange) cacheScope(t Target) string {
	if x.engine == nil {
		return ""
	}
	return "v" + strconv.Itoa(t.Weights[x.r.Model]) + "/" + x.scope
}

// classifyError classifies an attempt that failed before the response headers.
func (x *exchange) classifyError(ctx context.Context, t Target, err error) (fate.Evidence, error) {
	var refused *port.NotRunError
	if errors.As(err, &refused) {
		now := x.g.Clock.Now()
		switch refused.Reason {
		case port.NotRunUnreachable:
			if ctxAlive(ctx) {
				x.g.circuits.Failure(now, t.ID, retry.Down)
			}
		case port.NotRunIncarnationChanged:
			x.g.Directory.Remove(t.ID)
		case port.NotRunWeightsChanged:
			x.g.circuits.SetBusy(t.ID, now.Add(busyBackoff))
		default:
			x.retryAfter = max(x.retryAfter, refused.RetryAfter)
			x.g.circuits.SetBusy(t.ID, now.Add(busyBackoff))
		}
		return fate.NotRun, err
	}
	return fate.Unknown, x.markUnresponsive(ctx, err)
}

// markUnresponsive adds ErrUnresponsive to err if that ended the attempt.
func (x *exchange) markUnresponsive(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), ErrUnresponsive) {
		return errors.Join(ErrUnresponsive, err)
	}
	return err
}

// outcomeOf rates the target by the attempt's response alone. A timeout counts against
// the target only if the attempt lasted at least the route's latency objective.
func (x *exchange) outcomeOf(ctx context.Context, start time.Time, status int, evidence fate.Evidence, err error) outcome {
	switch {
	case status >= http.StatusInternalServerError:
		return outcomeBad
	case err == nil:
		return outcomeGood
	case evidence == fate.NotRun || clientGone(ctx) || failureOf(err).Kind == KindClientGone:
		return outcomeNone
	case ctxAlive(ctx) || x.g.Clock.Now().Sub(start) >= x.route.Objective:
		return outcomeBad
	}
	return outcomeNone
}

// finishAttempt removes the attempt from all counts and records its outcome.
func (x *exchange) finishAttempt(ctx context.Context, t Target, id string, start time.Time, evidence fate.Evidence, err error, o outcome) {
	g, now := x.g, x.g.Clock.Now()
	cached := -1
	took := time.Duration(0)
	if err == nil {
		cached, took = x.score.CachedTokens, now.Sub(start)
		g.circuits.Success(t.ID)
		g.Fingerprints.Clear(x.fingerprint, true)
	} else if evidence == fate.Unknown && !clientGone(ctx) && ctxAlive(ctx) {
		x.suspectCrash(now, t)
	}
	if err != nil {
		g.circuits.Ended(t.ID)
	}
	g.Fingerprints.Ended(t.Address, id)
	g.Directory.end(t.ID, took, o)
	if x.engine != nil {
		g.Placer.Finished(now, x.placeRequest, t.Address, t.Incarnation(), cached)
	}
}

// ctxAlive reports whether the attempt's context is still valid, or was cancelled only
// because the target was unresponsive.
func ctxAlive(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause == nil || errors.Is(cause, ErrUnresponsive)
}

// suspectCrash probes an engine that lost a response. If the probe fails, the engine is
// taken to have crashed while it ran its requests.
func (x *exchange) suspectCrash(now time.Time, t Target) {
	g := x.g
	if x.engine != nil {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if _, err := g.Control.Status(ctx, t.Address, t.ID); err == nil {
			g.circuits.Failure(now, t.ID, retry.Failed)
			return
		}
		if g.Fingerprints.Crashed(now, t.Address, string(t.Incarnation())) {
			g.Log.Info("target crashed", "target", t.ID, "request", x.r.ID)
		}
		g.circuits.Failure(now, t.ID, retry.Down)
		return
	}
	g.circuits.Failure(now, t.ID, retry.Failed)
}

// relayBuffered relays a response after reading it whole, or its first maxBufferedBytes
// if it is larger.
func (x *exchange) relayBuffered(ctx context.Context, t Target, a port.Answer) (fate.Evidence, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBytes))
	if err != nil {
		return fate.Unknown, x.markUnresponsive(ctx, err)
	}
	whole := len(body) < maxBufferedBytes
	length := a.Length
	if whole {
		length = int64(len(body))
	}
	x.firstEvent = x.g.Clock.Now().Sub(x.r.Received)
	x.commit(a, length)
	if len(body) > 0 {
		if err := x.sink.Write(body); err != nil {
			return fate.Unknown, &Failure{Kind: KindClientGone, Cause: err}
		}
	}
	if whole {
		return 0, nil
	}
	return x.copyRest(t, a)
}

// copyRest relays the rest of a large response as it arrives.
func (x *exchange) copyRest(t Target, a port.Answer) (fate.Evidence, error) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := a.Body.Read(buffer)
		x.g.Directory.recordActivity(t.ID)
		if n > 0 {
			if err := x.sink.Write(buffer[:n]); err != nil {
				return fate.Unknown, &Failure{Kind: KindClientGone, Cause: err}
			}
		}
		if errors.Is(err, io.EOF) {
			return 0, nil
		}
		if err != nil {
			return fate.Unknown, err
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

// relayEvents relays the events of a stream as they arrive, each one complete. The
// headers are sent with the first event, so that another target can take over until then.
func (x *exchange) relayEvents(ctx context.Context, t Target, a port.Answer) (fate.Evidence, error) {
	events := stream.NewEvents(a.Body, x.g.WeightsField)
	var batch []byte
	resumed := x.history.Delivered
	for {
		e, err := events.Next()
		x.g.Directory.recordActivity(t.ID)
		if err != nil {
			// Accepted events must reach the client, because a resumed stream continues
			// after them.
			if failed := x.deliver(a, batch); failed != nil {
				return fate.Unknown, failed
			}
			if errors.Is(err, io.EOF) {
				x.commit(a, x.contentLength(a))
				return 0, nil
			}
			return fate.Unknown, x.markUnresponsive(ctx, err)
		}
		fresh, err := x.order.Accept(e, resumed)
		resumed = resumed && !fresh && err == nil
		if err != nil {
			return fate.Unknown, errors.Join(err, x.deliver(a, batch))
		}
		if fresh {
			batch = append(batch, e.Bytes...)
			x.observeFirstEvent(t)
		}
		if events.Buffered() && len(batch) < copyBufferBytes {
			continue
		}
		if err := x.deliver(a, batch); err != nil {
			return fate.Unknown, err
		}
		batch = batch[:0]
	}
}

// deliver writes complete events to the client.
func (x *exchange) deliver(a port.Answer, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	x.commit(a, x.contentLength(a))
	x.history.Delivered = true
	if err := x.sink.Write(events); err != nil {
		return &Failure{Kind: KindClientGone, Cause: err}
	}
	return nil
}

// contentLength returns the length to declare for a stream: -1 for a resumable one, which
// another target may continue with events of another size.
func (x *exchange) contentLength(a port.Answer) int64 {
	if x.route.Resumable {
		return -1
	}
	return a.Length
}

func (x *exchange) observeFirstEvent(t Target) {
	now := x.g.Clock.Now()
	if x.firstEvent == 0 {
		x.firstEvent = now.Sub(x.r.Received)
		x.g.Metrics.Observe(MetricFirstEvent, x.firstEvent)
	}
	if x.engine != nil && !x.history.Delivered {
		if x.fetchFrom == "" && !x.sentAt.IsZero() {
			x.g.observePrefill(x.service, x.score, x.r.PromptTokens-x.score.CachedTokens, now.Sub(x.sentAt))
		}
		x.sentAt = time.Time{}
		x.g.Placer.FirstToken(now, x.placeRequest, t.Address, x.firstEvent)
	}
}
