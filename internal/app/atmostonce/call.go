package atmostonce

import (
	"context"
	"errors"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/ledger"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// readableGrace is how long a new call waits for an unreadable log before it
	// is refused.
	readableGrace = time.Second
	// notRunWait bounds the wait for the call's own not_run record, after which a
	// repeated request finds the key open.
	notRunWait = time.Second
	retryAfter = 2 * time.Second
	// minRetryAfter exceeds the lag of a follower behind the log.
	minRetryAfter = time.Second
	// resendInterval is the time after which an intent that was not read back is
	// appended again.
	resendInterval = 500 * time.Millisecond
	// expiryMargin extends the retention of an entry, so that it outlasts the
	// acceptance of its key despite clock skew between routers and log.
	expiryMargin = 3 * clockSkew
)

// call is the state of one request in the ledger protocol, guarded by
// Service.mu.
type call struct {
	req     Request
	key     ledger.Key
	attempt string
	base    port.Offset // offset applied when the request arrived
	epoch   int
	arrived time.Time
	expires time.Time
	wakeup  chan struct{} // capacity 1

	decision      ledger.Decision
	sent          bool // the intent was handed to the appender
	inFlight      bool // the result of its append is pending
	mayBeAppended bool // the intent is or may be in the log
	rejected      bool // the log refused the intent permanently
	reopened      bool // the call's own not_run record reopened the key
	resendAt      time.Time
	// supersedes is the earlier attempt, of a resendable key, that the intent
	// replaces.
	supersedes string
}

func (s *Service) register(r Request) *call {
	now := s.o.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &call{
		req: r, key: ledger.Key{Account: r.Key.ClientAccount, Value: r.Key.Value},
		base: s.state.Applied(), epoch: s.epoch, arrived: now,
		expires: now.Add(r.Retention + expiryMargin), wakeup: make(chan struct{}, 1),
	}
	s.newAttempt(c)
	if s.waiting[c.key] == nil {
		s.waiting[c.key] = map[*call]struct{}{}
	}
	s.waiting[c.key][c] = struct{}{}
	return c
}

// newAttempt assigns a new attempt to the call and ensures that the previous one
// never runs.
func (s *Service) newAttempt(c *call) {
	s.cancelIntent(c)
	delete(s.calls, c.attempt)
	c.attempt, c.decision = s.o.NewID(), ""
	c.sent, c.inFlight, c.mayBeAppended = false, false, false
	s.calls[c.attempt] = c
}

func (s *Service) unregister(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c.attempt)
	delete(s.waiting[c.key], c)
	if len(s.waiting[c.key]) == 0 {
		delete(s.waiting, c.key)
	}
}

func (c *call) signal() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// setDecision records the decision on the call's own intent. Decisions of a
// rebuilt state are ignored, because it may lack the record of an earlier winner.
func (c *call) setDecision(d ledger.Decision, epoch int) {
	if c.decision == "" && c.epoch == epoch {
		c.decision = d
	}
}

// sendIntent queues the intent for appending. s.mu must be held.
func (s *Service) sendIntent(c *call) {
	c.sent, c.inFlight, c.epoch = true, true, s.epoch
	intent := ledger.Intent{
		Key: c.key, BodyHash: c.req.BodyHash, Attempt: c.attempt, Router: s.o.Router, Route: c.req.Route,
		Deadline: c.req.Deadline, Resendable: c.req.Resendable, Base: c.base, Supersedes: c.supersedes, Expires: c.expires,
	}
	attempt := c.attempt
	s.enqueue("intent-"+attempt, ledger.Record{Intent: &intent}, &item{result: func(err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if c.attempt != attempt {
			return
		}
		c.appended(err)
		c.signal()
	}})
}

func (c *call) appended(err error) {
	c.inFlight = false
	var unavailable *port.UnavailableError
	var limited *port.RateLimitedError
	var bad *port.BadRequestError
	switch {
	case errors.As(err, &bad):
		c.rejected = true
	case errors.As(err, &unavailable), errors.As(err, &limited):
	default:
		c.mayBeAppended = true // written, or the response was lost
	}
}

// cancelIntent reopens the key if the intent won or may still win.
func (s *Service) cancelIntent(c *call) {
	if c.decision == ledger.Won || c.decision == "" && (c.inFlight || c.mayBeAppended) {
		s.sendNotRun(c)
	}
}

// sendNotRun closes an attempt permanently, even if its intent is appended later.
func (s *Service) sendNotRun(c *call) {
	s.enqueue("not-run-"+c.attempt, ledger.Record{NotRun: &ledger.NotRun{
		Key: c.key, Attempt: c.attempt, Expires: c.expires,
	}}, &item{retry: true, expires: c.expires})
}

func (s *Service) enqueue(id string, r ledger.Record, it *item) {
	data, err := ledger.Encode(r)
	if err != nil {
		s.o.Logger.Error("cannot encode ledger record", "id", id, "error", err)
		return
	}
	it.record = port.Record{ID: id, Data: data}
	s.appender.add(it)
}

// giveUp ends a call that was not dispatched and never will be. s.mu must be
// held. "Not run" is justified only in two cases: the call's own attempt won, so
// nothing else ran before, or the caller asserts that it sent nothing before.
func (s *Service) giveUp(c *call, cause error) error {
	e := s.state.Lookup(c.key)
	s.cancelIntent(c)
	won := c.decision == ledger.Won && !c.req.Resendable
	onlyAttempt := e.ClosedAt == 0 && (e.Status == ledger.Open || e.Attempt == c.attempt && len(e.Previous) == 0)
	if won || c.req.First && onlyAttempt {
		return &NotRunError{RetryAfter: retryAfter, Cause: cause}
	}
	return &MayHaveRunError{RetryAfter: retryAfter, Cause: cause}
}

// checkAge refuses a key whose entry may already have been pruned.
func (s *Service) checkAge(k Key, horizon time.Duration) error {
	now := s.o.Clock.Now()
	if k.CreatedAt.After(now.Add(clockSkew)) {
		return &KeyExpiredError{CreatedAt: k.CreatedAt, Horizon: clockSkew, Future: true}
	}
	if now.Sub(k.CreatedAt) > horizon {
		return &KeyExpiredError{CreatedAt: k.CreatedAt, Horizon: horizon}
	}
	return nil
}

// maxFirstUseAge returns the age up to which an unknown key may run: until then
// the log still has every record that could contain it, despite clock skew.
func (s *Service) maxFirstUseAge(r Request) time.Duration {
	return min(r.Retention, s.o.Retention-min(2*clockSkew, s.o.Retention/4))
}

type fencingKey struct{}

// FencingToken returns the offset of the intent under which a Dispatch runs, for
// targets that refuse tokens older than the newest they have seen.
func FencingToken(ctx context.Context) (port.Offset, bool) {
	token, ok := ctx.Value(fencingKey{}).(port.Offset)
	return token, ok
}
