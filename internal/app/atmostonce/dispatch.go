package atmostonce

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/ledger"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Headers of replies.
const (
	// HeaderReplayed is "true" on an outcome that answers a repeat.
	HeaderReplayed = "Idempotency-Replayed"
	// HeaderBodyKept is "false" on an outcome whose body, or headers, are too
	// large to be kept: repeats get the status only.
	HeaderBodyKept = "Idempotency-Body-Kept"
)

// answer is an outcome that is not read back yet.
type answer struct {
	bodyHash string
	outcome  Outcome // as kept
	expires  time.Time
}

type result struct {
	outcome Outcome
	err     error
}

// dispatch runs the attempt apart from the caller: when the caller leaves, the
// outcome is still kept for its repeats.
func (s *Service) dispatch(ctx context.Context, c *call, token port.Offset, d Dispatch) (Outcome, error) {
	if err := s.mayDispatch(ctx, c); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return Outcome{}, s.giveUp(c, err)
	}
	done := make(chan result, 1)
	dctx := context.WithValue(context.WithoutCancel(ctx), fencingKey{}, token)
	dctx, cancel := context.WithTimeout(dctx, c.req.Deadline.Sub(s.o.Clock.Now()))
	attempt := c.attempt
	s.setRunning(attempt, true)
	go func() {
		defer cancel()
		defer s.setRunning(attempt, false)
		out, err := d(dctx, attempt)
		out, err = s.settle(ctx, c, out, err)
		done <- result{out, err}
	}()
	select {
	case r := <-done:
		return r.outcome, r.err
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		return Outcome{}, &MayHaveRunError{RetryAfter: retryAfter, Cause: s.endReason(ctx, c)}
	}
}

// setRunning notes the attempts that this router has sent and not heard of.
func (s *Service) setRunning(attempt string, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if running {
		s.running[attempt] = true
		return
	}
	delete(s.running, attempt)
	s.wakeAll()
}

// mayDispatch is the last check before the attempt is sent.
func (s *Service) mayDispatch(ctx context.Context, c *call) error {
	select {
	case <-s.stopped:
		return ErrStopped
	default:
	}
	if !s.o.Clock.Now().Before(c.req.Deadline) {
		return ErrDeadlinePassed
	}
	if ctx.Err() != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.endReason(ctx, c)
	}
	return nil
}

// settle records what became of the attempt. An unknown outcome has no record:
// the intent alone says "may have run" to everyone.
func (s *Service) settle(ctx context.Context, c *call, out Outcome, err error) (Outcome, error) {
	var notRun *port.NotRunError
	switch {
	case err == nil:
		return s.keepOutcome(c, out), nil
	case errors.As(err, &notRun):
		return Outcome{}, s.settleNotRun(ctx, c, notRun)
	}
	return Outcome{}, &MayHaveRunError{RetryAfter: retryAfter, Cause: err}
}

func (s *Service) keepOutcome(c *call, out Outcome) Outcome {
	kept := Outcome{Status: out.Status, Header: out.Header.Clone(), Body: bytes.Clone(out.Body)}
	if len(out.Body) > MaxStoredBody || headerBytes(out.Header) > maxStoredHeaders {
		kept = Outcome{Status: out.Status, Header: http.Header{HeaderBodyKept: {"false"}}}
		out.Header = out.Header.Clone()
		if out.Header == nil {
			out.Header = http.Header{}
		}
		out.Header.Set(HeaderBodyKept, "false")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[c.key] = answer{bodyHash: c.req.BodyHash, outcome: kept, expires: c.expires}
	s.enqueue("outcome-"+c.attempt, ledger.Record{Outcome: &ledger.Outcome{
		Key: c.key, Attempt: c.attempt, BodyHash: c.req.BodyHash, Status: kept.Status,
		Headers: kept.Header, Body: kept.Body, Expires: c.expires,
	}}, &item{keep: true, expires: c.expires})
	s.wake(c.key)
	return out
}

// settleNotRun opens the key again and waits a little for that to take effect.
func (s *Service) settleNotRun(ctx context.Context, c *call, cause *port.NotRunError) error {
	s.mu.Lock()
	s.sendNotRun(c)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, notRunWait)
	defer cancel()
	for s.holds(c) && ctx.Err() == nil {
		select {
		case <-c.wakeup:
		case <-s.stopped:
			cancel()
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The other routers need a moment to read that the key is open again.
	after := max(cause.RetryAfter, minRetryAfter)
	// Another attempt may take a resendable key over before the record lands.
	if c.req.Resendable && !c.opened {
		return &MayHaveRunError{RetryAfter: after, Cause: cause}
	}
	return &NotRunError{RetryAfter: after, Cause: cause}
}

// holds reports whether the key is still pending for the call's attempt.
func (s *Service) holds(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.state.Lookup(c.key)
	return e.Status == ledger.Pending && e.Attempt == c.attempt && !e.Released
}

func replay(c *call, bodyHash string, kept Outcome) step {
	if bodyHash != c.req.BodyHash {
		return failed(&KeyReusedError{Key: c.key.Value})
	}
	out := Outcome{Status: kept.Status, Header: kept.Header.Clone(), Body: bytes.Clone(kept.Body)}
	if out.Header == nil {
		out.Header = http.Header{}
	}
	out.Header.Set(HeaderReplayed, "true")
	return step{done: true, outcome: out}
}

func outcomeOf(e ledger.Entry) Outcome {
	return Outcome{Status: e.ResultStatus, Header: e.ResultHeaders, Body: e.ResultBody}
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
