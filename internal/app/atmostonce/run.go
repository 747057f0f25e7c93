package atmostonce

import (
	"context"
	"errors"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/ledger"
	"mimosaseam.example/mimosaseam/internal/port"
)

// step is the next action of a call.
type step struct {
	// done means that outcome or err is the result.
	done    bool
	outcome Outcome
	err     error
	// dispatch means that the call's own intent won, at offset token.
	dispatch bool
	token    port.Offset
	// until bounds the wait for a change. Zero: until the deadline.
	until time.Time
}

// Run implements Runner.
func (s *Service) Run(ctx context.Context, r Request, dispatch Dispatch) (Outcome, error) {
	if err := s.checkAge(r.Key, r.Retention); err != nil {
		return Outcome{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(s.o.Clock.Now()))
	defer cancel()
	c := s.register(r)
	defer s.unregister(c)
	for {
		next := s.next(c)
		switch {
		case next.done:
			return next.outcome, next.err
		case next.dispatch:
			return s.dispatch(ctx, c, next.token, dispatch)
		}
		if !s.wait(ctx, c, next.until) {
			s.mu.Lock()
			defer s.mu.Unlock()
			return Outcome{}, s.giveUp(c, s.endReason(ctx, c))
		}
	}
}

// wait returns true when the call must be evaluated again, false when its context
// has ended or the router is stopping.
func (s *Service) wait(ctx context.Context, c *call, until time.Time) bool {
	if !until.IsZero() {
		timer := time.AfterFunc(until.Sub(s.o.Clock.Now()), c.signal)
		defer timer.Stop()
	}
	select {
	case <-c.wakeup:
		return true
	case <-s.stopped:
	case <-ctx.Done():
	}
	return false
}

// endReason returns why a call ends. s.mu must be held.
func (s *Service) endReason(ctx context.Context, c *call) error {
	switch {
	case ctx.Err() == nil:
		return ErrStopped
	case !errors.Is(ctx.Err(), context.DeadlineExceeded) && !errors.Is(context.Cause(ctx), context.Canceled):
		return context.Cause(ctx) // the owner of the call has ended it
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ErrCallerDisconnected
	case c.decision == ledger.Lost:
		return ErrNoOutcome
	}
	return ErrDeadlinePassed
}

// next returns the next step of the call according to the state of the ledger.
func (s *Service) next(c *call) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.unconfirmed[c.key]; ok && c.decision != ledger.Won {
		return replay(c, a.bodyHash, a.outcome)
	}
	e := s.state.Lookup(c.key)
	switch c.decision {
	case ledger.Won:
		return step{dispatch: true, token: e.Offset}
	case ledger.Reused:
		return failed(&KeyReusedError{Key: c.key.Value})
	case ledger.Closed:
		return failed(&MayHaveRunError{RetryAfter: minRetryAfter, Cause: ErrKeyClosed})
	}
	switch {
	case c.epoch != s.epoch && c.sent:
		return failed(s.giveUp(c, ErrLogUnreadable))
	case e.BodyHash != "" && e.BodyHash != c.req.BodyHash:
		return failed(&KeyReusedError{Key: c.key.Value})
	case e.Status == ledger.Done:
		return replay(c, e.BodyHash, outcomeOf(e))
	case e.Status == ledger.Pending:
		return s.nextPending(c, e)
	}
	return s.nextOpen(c, e)
}

// nextPending waits for the outcome of the winner. A resendable key is taken over
// once the winner may no longer dispatch.
func (s *Service) nextPending(c *call, e ledger.Entry) step {
	if !e.Resendable || !c.req.Resendable || !s.healthy || !s.caughtUp || c.inFlight {
		return step{}
	}
	if s.running[e.Attempt] || s.calls[e.Attempt] != nil {
		return step{} // still in progress on this router
	}
	if takeover := e.Deadline.Add(clockSkew); !e.Released && s.o.Clock.Now().Before(takeover) && e.Router != s.o.Router {
		return step{until: takeover}
	}
	if c.sent && c.supersedes == e.Attempt && c.decision == "" {
		return s.resend(c)
	}
	if c.sent {
		s.newAttempt(c)
	}
	c.supersedes = e.Attempt
	s.sendIntent(c)
	return step{}
}

func (s *Service) nextOpen(c *call, e ledger.Entry) step {
	switch {
	case c.decision == ledger.Lost || c.base < e.ClosedAt:
		return failed(s.failKeyClosed(c))
	case c.rejected:
		return failed(s.giveUp(c, ErrLogUnreadable))
	case c.inFlight:
		return step{}
	case c.mayBeAppended:
		return s.resend(c)
	case !s.healthy && !s.o.Clock.Now().Before(c.arrived.Add(readableGrace)):
		return failed(s.giveUp(c, ErrLogUnreadable))
	case !s.healthy:
		return step{until: c.arrived.Add(readableGrace)}
	case !s.caughtUp:
		return step{}
	}
	if !s.o.Clock.Now().Before(c.req.Deadline) {
		return failed(s.giveUp(c, ErrDeadlinePassed))
	}
	if err := s.checkAge(c.req.Key, s.maxFirstUseAge(c.req)); err != nil && !c.sent {
		return failed(err)
	}
	if s.state.Bytes() > s.o.MaxBytes && !c.sent {
		return failed(s.giveUp(c, ErrLedgerFull))
	}
	c.supersedes = ""
	s.sendIntent(c)
	return step{}
}

// failKeyClosed cancels a call whose key was closed by the not_run record of an
// earlier request.
func (s *Service) failKeyClosed(c *call) error {
	s.cancelIntent(c)
	return &MayHaveRunError{RetryAfter: minRetryAfter, Cause: ErrKeyClosed}
}

func failed(err error) step { return step{done: true, err: err} }

// resend appends an intent again that was not read back, because the response was
// lost or the log refused it. The ledger state applies duplicates only once.
func (s *Service) resend(c *call) step {
	if c.resendAt.IsZero() {
		c.resendAt = s.o.Clock.Now().Add(resendInterval)
	}
	if s.o.Clock.Now().Before(c.resendAt) {
		return step{until: c.resendAt}
	}
	c.resendAt = time.Time{}
	s.sendIntent(c)
	return step{}
}
