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

// Response headers.
const (
	// HeaderReplayed is "true" on an outcome replayed to a repeated request.
	HeaderReplayed = "Idempotency-Replayed"
	// HeaderBodyKept is "false" on an outcome whose body or headers are too large to be
	// retained, or for which there is no memory: repeated requests get only the status.
	HeaderBodyKept = "Idempotency-Body-Kept"
)

// unconfirmedOutcome is an outcome that was not yet read back from the log.
type unconfirmedOutcome struct {
	bodyHash string
	outcome  Outcome // without body and headers if they are too large
	expires  time.Time
}

type result struct {
	outcome Outcome
	err     error
}

// dispatch runs the attempt independently of the caller: if the caller
// disconnects, the outcome is still retained for its repeated requests.
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

// setRunning tracks the attempts that this router has sent and that have not
// returned.
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

// settle records the result of the attempt. An unknown outcome needs no record:
// an intent without an outcome means "may have run".
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
	retained := Outcome{Status: out.Status, Header: out.Header.Clone(), Body: bytes.Clone(out.Body)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(out.Body) > MaxStoredBody || headerBytes(out.Header) > maxStoredHeaders || !s.hasRoom(sizeOf(out)) {
		retained = Outcome{Status: out.Status, Header: http.Header{HeaderBodyKept: {"false"}}}
		out.Header = out.Header.Clone()
		if out.Header == nil {
			out.Header = http.Header{}
		}
		out.Header.Set(HeaderBodyKept, "false")
	}
	s.unconfirmed[c.key] = unconfirmedOutcome{bodyHash: c.req.BodyHash, outcome: retained, expires: c.expires}
	s.unconfirmedBytes += sizeOf(retained)
	s.enqueue("outcome-"+c.attempt, ledger.Record{Outcome: &ledger.Outcome{
		Key: c.key, Attempt: c.attempt, BodyHash: c.req.BodyHash, Status: retained.Status,
		Headers: retained.Header, Body: retained.Body, Expires: c.expires,
	}}, &item{retry: true, expires: c.expires})
	s.wake(c.key)
	return out
}

const (
	// outcomesDivisor leaves three quarters of the ledger's memory to keys: without the outcome
	// of a call, the ledger still knows that it ran.
	outcomesDivisor = 4
	// unconfirmedFactor is how many times its size an outcome takes until it was read back:
	// retained, and encoded for the log.
	unconfirmedFactor = 3
)

// hasRoom reports whether an outcome of the size may be retained. s.mu must be held.
func (s *Service) hasRoom(size int) bool {
	return s.state.OutcomeBytes()+unconfirmedFactor*(s.unconfirmedBytes+size) <= s.o.MaxBytes/outcomesDivisor
}

func sizeOf(o Outcome) int { return len(o.Body) + headerBytes(o.Header) }

// confirm forgets an outcome that was read back or has expired. s.mu must be held.
func (s *Service) confirm(key ledger.Key) {
	if u, ok := s.unconfirmed[key]; ok {
		s.unconfirmedBytes -= sizeOf(u.outcome)
		delete(s.unconfirmed, key)
	}
}

// settleNotRun reopens the key and waits briefly for that to take effect.
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
	// The other routers need time to read that the key was reopened.
	after := max(cause.RetryAfter, minRetryAfter)
	// Another attempt may take over a resendable key before the record is appended.
	if c.req.Resendable && !c.reopened {
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

func replay(c *call, bodyHash string, retained Outcome) step {
	if bodyHash != c.req.BodyHash {
		return failed(&KeyReusedError{Key: c.key.Value})
	}
	out := Outcome{Status: retained.Status, Header: retained.Header.Clone(), Body: bytes.Clone(retained.Body)}
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
