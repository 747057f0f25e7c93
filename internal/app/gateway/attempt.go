package gateway

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/core/retrypolicy"
	"mimosaseam.example/mimosaseam/internal/core/stream"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// maxBufferedBytes is the size up to which a response is buffered before it is
	// relayed, so that the request can be retried if the response breaks off.
	maxBufferedBytes = 256 << 10
	// bufferMemory bounds the buffers of the requests that bring no memory of their own.
	bufferMemory = 16 << 20
	// copyBufferBytes is the size of one write to a client, about that of one read.
	copyBufferBytes = 16 << 10
	// heldResponseTimeout bounds the wait for the body of an error response that is held
	// back: a retry on another target is worth more than the body.
	heldResponseTimeout = 100 * time.Millisecond
	// probeTimeout bounds the status request to an unresponsive target.
	probeTimeout = 400 * time.Millisecond
)

func (x *exchange) attemptID() string { return x.r.ID + "/" + strconv.Itoa(x.attempts) }

// attempt sends the request to the target and relays the response. If it fails, it also
// returns whether the request may have run. started is called once the attempt is counted.
func (x *exchange) attempt(ctx context.Context, t Target, started func()) (outcome retrypolicy.Outcome, err error) {
	g, start, id := x.g, x.g.Clock.Now(), x.attemptID()
	ctx, span := g.Tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("target", t.ID), attribute.String("attempt_id", id)))
	defer span.End()
	x.attempts++
	x.sentAt, x.currentAttempt, x.answering = start, id, false
	if x.tried[t.ID] {
		// A late copy of the target's response to the earlier attempt carries the
		// same id.
		ctx = port.WithFreshConnection(ctx)
	}
	x.lastTarget, x.tried[t.ID] = t.ID, true
	x.beginWork(start)
	g.Directory.begin(t.ID, x.sent)
	g.circuits.Started(start, t.ID)
	if x.engine != nil {
		// The account may have been isolated since the request arrived.
		x.scope = g.config.Load().CacheScope(x.account)
		x.score = x.scoreOf(t)
		g.observeOccupancy(x.service, x.score.PrefillMs)
		x.planTransfers(start, t)
		g.Placer.Started(start, x.placementRequest, t.Address)
		x.announcePrefill(t)
		g.CacheContents.ExpectCached(start, t.Address, x.cacheScope(t), x.r.Prompt)
	}
	started()
	x.logAttempt(ctx, t)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := x.watchLiveness(ctx, cancel, t)
	status := 0
	defer func() {
		stop()
		x.succeeded = err == nil && status < http.StatusMultipleChoices
		x.finishAttempt(ctx, t, id, start, outcome, err, x.rateTarget(ctx, start, status, outcome, err))
	}()
	response, err := g.Forwarder.Forward(ctx, t.Address, x.forward(t))
	if err != nil {
		x.observeRefusal(t, start, err)
		return x.classifyError(ctx, t, start, err)
	}
	x.observeRate(t, start, response.RequestsPerSecond, response.Status)
	g.Directory.observeStatement(t.ID, t.Incarnation(), x.r.ID, response.Statement)
	defer response.Body.Close()
	status = response.Status
	g.Directory.observeHeaders(t.ID, x.r.Model, response, start)
	x.observeLoad(t, response.Load)
	if response.Closing {
		g.Log.Debug("target closes connections", "target", t.ID)
	}
	if x.committed && !isEventStream(response) {
		// Only events may follow what the client has received.
		return retrypolicy.Failed, errors.Join(ErrNotContinued, &port.BadRequestError{Peer: t.ID, Status: response.Status})
	}
	if response.Status >= http.StatusInternalServerError && x.canRetryElsewhere() {
		return x.holdFailure(ctx, t, response)
	}
	if x.route.Kind == gatewayconfig.Streaming && response.Status == http.StatusOK {
		return x.relayEvents(ctx, t, response)
	}
	return x.relayBuffered(ctx, t, response)
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

// canRetryElsewhere reports whether the target's error response should be held back from
// the client because the request may be retried on another target.
func (x *exchange) canRetryElsewhere() bool {
	h := x.history
	h.Add(retrypolicy.Failed)
	return !x.committed && retrypolicy.MayRetry(x.route, h, retrypolicy.Failed) && x.g.Directory.hasOther(x.service, x.tried)
}

// holdFailure buffers the target's error response. It is relayed if no other target
// returns a better one.
func (x *exchange) holdFailure(ctx context.Context, t Target, a port.ForwardResponse) (retrypolicy.Outcome, error) {
	stop := time.AfterFunc(heldResponseTimeout, func() { _ = a.Body.Close() }) // the reader sees the error
	defer stop.Stop()
	b := limits.NewBuffer(x.memory(), maxBufferedBytes)
	if whole, err := b.Read(a.Body); err == nil && whole {
		x.holdBuffer(a, b)
	} else {
		b.Free()
	}
	return retrypolicy.Failed, &port.BadRequestError{Peer: t.ID, Status: a.Status}
}

// memory returns of what the buffered responses take their memory.
func (x *exchange) memory() limits.Allowance {
	if x.r.Memory != nil {
		return x.r.Memory
	}
	return x.g.buffers
}

// holdBuffer holds a response back in place of an earlier one.
func (x *exchange) holdBuffer(a port.ForwardResponse, b *limits.Buffer) {
	x.dropHeld()
	x.held = &bufferedResponse{response: a, buffer: b}
}

func (x *exchange) dropHeld() {
	if x.held != nil {
		x.held.buffer.Free()
		x.held = nil
	}
}

// sendHeldFailure relays the error response that was held back.
func (x *exchange) sendHeldFailure() error {
	body := x.held.buffer.Bytes()
	x.commit(x.held.response, int64(len(body)))
	if len(body) == 0 {
		return nil
	}
	if err := x.sink.Write(body); err != nil {
		return &Failure{Kind: KindClientGone, Cause: err}
	}
	return nil
}

func (x *exchange) forward(t Target) port.Forward {
	f := port.Forward{RequestID: x.r.ID, Method: x.r.Method, URI: x.r.URI, Host: x.r.Host, Header: x.r.Header, Body: x.r.Body,
		Deadline: x.deadline, ExpectTarget: t.ID, CacheScope: x.cacheScope(t),
		ExpectWeights: x.expectWeights, FetchFrom: x.fetchFrom, SaveTo: x.saveTo, Priority: gatewayconfig.Rank(x.route, x.account)}
	if f.ExpectWeights == 0 {
		// The known version may be out of date. What other weights make must not stand in
		// the cache scope of this one.
		f.ExpectWeights = t.Weights[x.r.Model]
	}
	if x.account != nil {
		f.ClientAccount = x.account.Name
	}
	if last, resumed := x.sequence.Last(); resumed && x.committed {
		f.ResumeAfter = strconv.FormatUint(last, 10)
	}
	return f
}

// cacheScope separates KV cache entries by weights version and by the accounts that share them.
func (x *exchange) cacheScope(t Target) string {
	if x.engine == nil {
		return ""
	}
	return "v" + strconv.Itoa(t.Weights[x.r.Model]) + "/" + x.scope
}

// classifyError classifies an attempt that failed before the response headers.
func (x *exchange) classifyError(ctx context.Context, t Target, sent time.Time, err error) (retrypolicy.Outcome, error) {
	var refused *port.NotRunError
	if errors.As(err, &refused) {
		now := x.g.Clock.Now()
		if port.ProvesRestart(err) {
			x.g.recordEnd(t, true, string(refused.Reason))
		}
		switch refused.Reason {
		case port.NotRunUnreachable:
			if ctxAlive(ctx) {
				x.g.circuits.Failure(now, t.ID, retry.TargetDown)
			}
		case port.NotRunIncarnationChanged:
			x.g.Directory.SetPaused(t.ID, now.Add(replacedPause))
		case port.NotRunWeightsChanged:
			if !x.g.Directory.ObserveWeights(t.ID, x.r.Model, refused.Weights, sent) {
				x.g.circuits.SetBusy(t.ID, now.Add(busyBackoff))
			}
		default:
			if refused.Load != nil && refused.Load.SlownessPercent > 0 {
				x.observeLoad(t, refused.Load)
			}
			if refused.Statement.Wait == 0 {
				x.retryAfter = max(x.retryAfter, refused.RetryAfter)
			}
			x.g.circuits.SetBusy(t.ID, now.Add(busyBackoff))
			x.g.Directory.observeFull(t.ID, refused.Load)
			if full := refused.Load != nil && (refused.Load.Waiting > 0 || refused.Load.Running >= refused.Load.Slots); !full && x.outdated(t) {
				// A target that refuses requests while it has free slots loads the
				// newer weights. Only the router that gave the order knows for certain.
				x.g.Directory.SetPaused(t.ID, now.Add(loadingPause))
			}
		}
		return retrypolicy.NotRun, err
	}
	return retrypolicy.Unknown, x.markUnresponsive(ctx, err)
}

// outdated reports whether newer weights than the target's were announced.
func (x *exchange) outdated(t Target) bool {
	if x.engine == nil || x.g.DesiredVersion == nil {
		return false
	}
	desired, _ := x.g.DesiredVersion(x.r.Model)
	return t.Weights[x.r.Model] < desired
}

// markUnresponsive adds ErrUnresponsive to err if that ended the attempt.
func (x *exchange) markUnresponsive(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), ErrUnresponsive) {
		return errors.Join(ErrUnresponsive, err)
	}
	return err
}

// rateTarget rates the target by the attempt's response alone. A timeout counts against
// the target only if the attempt lasted at least the route's latency objective.
func (x *exchange) rateTarget(ctx context.Context, start time.Time, status int, outcome retrypolicy.Outcome, err error) targetRating {
	switch {
	case status >= http.StatusInternalServerError:
		return ratingBad
	case err == nil:
		return ratingGood
	case outcome == retrypolicy.NotRun || clientDisconnected(ctx) || failureOf(err).Kind == KindClientGone:
		return ratingNone
	case ctxAlive(ctx) || x.g.Clock.Now().Sub(start) >= x.route.Objective:
		return ratingBad
	}
	return ratingNone
}

// finishAttempt removes the attempt from all counts and records its outcome and the
// rating of its target.
func (x *exchange) finishAttempt(ctx context.Context, t Target, id string, start time.Time, outcome retrypolicy.Outcome, err error, rating targetRating) {
	g, now := x.g, x.g.Clock.Now()
	cached := -1
	took := time.Duration(0)
	if err == nil {
		cached, took = x.score.CachedTokens, now.Sub(start)
		g.circuits.Success(t.ID)
		if rating == ratingGood {
			g.CrashTracker.Clear(x.fingerprint, true)
		}
	}
	x.unanswered = x.unanswered || err != nil && outcome == retrypolicy.Unknown
	if err != nil && outcome == retrypolicy.Unknown && !clientDisconnected(ctx) && ctxAlive(ctx) {
		x.probeAfterFailure(now, t)
	}
	if err != nil {
		g.circuits.Ended(t.ID)
	}
	g.CrashTracker.Ended(t.Address, id)
	g.SegmentTracker.Ended(now, t.Address, id, attemptEnd(outcome, err, rating))
	g.Directory.end(t.ID, took, rating)
	x.endWork(now, t, took, rating)
	if x.engine != nil {
		g.Placer.Finished(now, x.placementRequest, t.Address, t.Incarnation(), cached)
	}
}

// ctxAlive reports whether the request still waits for a response: the attempt's context
// is valid, or was cancelled only because the target was unresponsive.
func ctxAlive(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause == nil || errors.Is(cause, ErrUnresponsive)
}

// relayBuffered relays a response after reading it whole, or as much of it as can be buffered.
func (x *exchange) relayBuffered(ctx context.Context, t Target, a port.ForwardResponse) (retrypolicy.Outcome, error) {
	b := limits.NewBuffer(x.memory(), maxBufferedBytes)
	defer b.Free()
	whole, err := b.Read(a.Body)
	if err != nil {
		return retrypolicy.Unknown, x.markUnresponsive(ctx, err)
	}
	if x.sent != nil {
		// The target is done, or nearly so. How long the client reads says nothing of it.
		now := x.g.Clock.Now()
		x.endPlainWork(now, t, now.Sub(x.sent.At), a.Status < http.StatusInternalServerError)
	}
	length := a.Length
	if whole {
		length = int64(len(b.Bytes()))
	}
	x.firstEvent = x.g.Clock.Now().Sub(x.r.Received)
	x.commit(a, length)
	x.unplaced = true
	if len(b.Bytes()) > 0 {
		if err := x.sink.Write(b.Bytes()); err != nil {
			return retrypolicy.Unknown, &Failure{Kind: KindClientGone, Cause: err}
		}
	}
	b.Free() // the rest may take long
	if whole {
		return 0, nil
	}
	return x.copyRest(t, a)
}

// copyRest relays the rest of a large response as it arrives.
func (x *exchange) copyRest(t Target, a port.ForwardResponse) (retrypolicy.Outcome, error) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := a.Body.Read(buffer)
		x.g.Directory.recordActivity(t.ID, n > 0)
		if n > 0 {
			if err := x.sink.Write(buffer[:n]); err != nil {
				return retrypolicy.Unknown, &Failure{Kind: KindClientGone, Cause: err}
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

func (x *exchange) commit(a port.ForwardResponse, length int64) {
	if x.committed {
		return
	}
	x.committed = true
	x.relaying.Store(true)
	x.sink.Head(a.Status, a.Header, length)
}

// relayEvents relays the events of a stream as they arrive, each one complete. The
// headers are sent with the first event, so that another target can take over until then.
func (x *exchange) relayEvents(ctx context.Context, t Target, a port.ForwardResponse) (retrypolicy.Outcome, error) {
	events := stream.NewEventReader(a.Body, x.g.WeightsField)
	var batch []byte
	_, resumed := x.sequence.Last()
	continued := !resumed // by an event whose place in the stream is known
	for {
		e, err := events.Next()
		x.g.Directory.recordActivity(t.ID, err == nil)
		if err != nil {
			// Accepted events must reach the client, because a resumed stream continues
			// after them.
			if failed := x.deliver(a, batch); failed != nil {
				return retrypolicy.Unknown, failed
			}
			if errors.Is(err, io.EOF) && a.EndsWithConnection && !x.history.Delivered {
				return retrypolicy.Unknown, ErrEmptyStream
			}
			if errors.Is(err, io.EOF) && !continued {
				return retrypolicy.Unknown, ErrNotContinued
			}
			if errors.Is(err, io.EOF) {
				x.commit(a, x.contentLength(a))
				return 0, nil
			}
			return retrypolicy.Unknown, x.markUnresponsive(ctx, err)
		}
		continued = continued || e.HasID
		if !continued && e.HasContent {
			return retrypolicy.Unknown, ErrNotContinued
		}
		x.unplaced = x.unplaced || e.HasContent && !e.HasID
		fresh, err := x.sequence.Accept(e, resumed)
		resumed = resumed && !fresh && err == nil
		if err != nil {
			return retrypolicy.Unknown, errors.Join(err, x.deliver(a, batch))
		}
		if fresh {
			x.observeFirstEvent(t)
		}
		var single []byte // not copied: a client may not take a large event for long
		switch {
		case fresh && len(batch)+len(e.Bytes) > copyBufferBytes:
			single = e.Bytes
		case fresh:
			batch = append(batch, e.Bytes...)
		}
		if events.Buffered() && single == nil {
			continue
		}
		if err := x.deliver(a, batch); err != nil {
			return retrypolicy.Unknown, err
		}
		if err := x.deliver(a, single); err != nil {
			return retrypolicy.Unknown, err
		}
		batch = batch[:0]
	}
}

// isEventStream reports whether a response may continue a stream. One without a type is
// judged by its events.
func isEventStream(a port.ForwardResponse) bool {
	if a.Status != http.StatusOK {
		return false
	}
	contentType := a.Header.Get("Content-Type")
	media, _, err := mime.ParseMediaType(contentType)
	return contentType == "" || err == nil && media == "text/event-stream"
}

// deliver writes complete events to the client.
func (x *exchange) deliver(a port.ForwardResponse, events []byte) error {
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
func (x *exchange) contentLength(a port.ForwardResponse) int64 {
	if x.route.Resumable {
		return -1
	}
	return a.Length
}

func (x *exchange) observeFirstEvent(t Target) {
	now := x.g.Clock.Now()
	if !x.answering {
		x.answering = true
		x.g.SegmentTracker.Answering(now, t.Address, x.currentAttempt)
	}
	if x.firstEvent == 0 {
		x.firstEvent = now.Sub(x.r.Received)
		x.g.Metrics.Observe(MetricFirstEvent, x.firstEvent)
	}
	if x.engine != nil && !x.history.Delivered {
		if x.fetchFrom == "" && !x.sentAt.IsZero() {
			x.g.observePrefill(x.service, x.score, x.r.PromptTokens-x.score.CachedTokens, now.Sub(x.sentAt))
			x.observeError(duration(x.score.QueueMs+x.score.PrefillMs+x.score.LinkMs+x.score.ColdMs), now.Sub(x.sentAt))
		}
		x.sentAt, x.eventsBegan = time.Time{}, now
		x.g.Placer.FirstToken(now, x.placementRequest, t.Address, x.firstEvent)
	}
}
