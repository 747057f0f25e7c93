package atmostonce

import (
	"context"
	"errors"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/ledger"
	"mimosaseam.example/mimosaseam/internal/port"
)

// step is what a call does next.
type step struct {
	// done says that outcome or err is the answer.
	done    bool
	outcome Outcome
	err     error
	// dispatch says that the own intent won, at offset token.
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
	c := s.arrive(r)
	defer s.leave(c)
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

// wait returns true when the call is to look again, false when its time or the
// router's is over.
func (s *Service) wait(ctx context.Context, c *call, until time.Time) bool {
	if !until.IsZero() {
		timer := time.AfterFunc(until.Sub(s.o.Clock.Now()), c.poke)
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

// endReason says why a call ends; the caller holds the lock.
func (s *Service) endReason(ctx context.Context, c *call) error {
	switch {
	case ctx.Err() == nil:
		return ErrStopped
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ErrCallerGone
	case c.decision == ledger.Lost:
		return ErrNoOutcome
	}
	return ErrDeadlinePassed
}

// next decides from the state of the ledger what the call does.
func (s *Service) next(c *call) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.answers[c.key]; ok && c.decision != ledger.Won {
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

// nextPending waits for the winner's outcome. A resendable key is taken over
// once the winner may no longer dispatch.
func (s *Service) nextPending(c *call, e ledger.Entry) step {
	if !e.Resendable || !c.req.Resendable || !s.healthy || !s.caughtUp || c.inFlight {
		return step{}
	}
	if s.running[e.Attempt] || s.calls[e.Attempt] != nil {
		return step{} // still open on this router
	}
	if takeover := e.Deadline.Add(clockSkew); !e.Released && s.o.Clock.Now().Before(takeover) && e.Router != s.o.Router {
		return step{until: takeover}
	}
	if c.sent && c.supersedes == e.Attempt && c.decision == "" {
		return s.resend(c)
	}
	if c.sent {
		s.renew(c)
	}
	c.supersedes = e.Attempt
	s.sendIntent(c)
	return step{}
}

func (s *Service) nextOpen(c *call, e ledger.Entry) step {
	switch {
	case c.decision == ledger.Lost || c.base < e.ClosedAt:
		return failed(s.closed(c))
	case c.refused:
		return failed(s.giveUp(c, ErrLogUnreadable))
	case c.inFlight:
		return step{}
	case c.landed:
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
	if err := s.checkAge(c.req.Key, s.firstUse(c.req)); err != nil && !c.sent {
		return failed(err)
	}
	if s.state.Bytes() > s.o.MaxBytes && !c.sent {
		return failed(s.giveUp(c, ErrLedgerFull))
	}
	c.supersedes = ""
	s.sendIntent(c)
	return step{}
}

// closed answers a call whose key an earlier request's not_run closed.
func (s *Service) closed(c *call) error {
	s.cancelIntent(c)
	return &MayHaveRunError{RetryAfter: minRetryAfter, Cause: ErrKeyClosed}
}

func failed(err error) step { return step{done: true, err: err} }

// resend repeats an intent that is not read back: its answer was lost, or the
// log refused it. The fold takes the same record once.
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
