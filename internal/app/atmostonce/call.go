package atmostonce

import (
	"context"
	"errors"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/ledger"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// readableGrace is how long a new call waits for a log that cannot be read
	// before it is refused.
	readableGrace = time.Second
	// notRunWait bounds the wait for the own not_run record, after which a
	// repeat of the key finds it open.
	notRunWait = time.Second
	retryAfter = 2 * time.Second
	// minRetryAfter is more than a follower lags behind the log.
	minRetryAfter = time.Second
	// resendInterval is how long an intent may take to be read back before it
	// is appended again.
	resendInterval = 500 * time.Millisecond
	// expirySlack keeps an entry for longer than its key is accepted, whatever
	// the difference between the clocks of routers and log.
	expirySlack = 3 * clockSkew
)

// call is one request on its way through the ledger. The lock of the Service
// guards it.
type call struct {
	req     Request
	key     ledger.Key
	attempt string
	base    port.Offset // applied when the request arrived
	epoch   int
	arrived time.Time
	expires time.Time
	wakeup  chan struct{} // holds one

	decision ledger.Decision
	sent     bool // the intent was handed to the appender
	inFlight bool // and its result is not known yet
	landed   bool // the intent is in the log, or may be
	refused  bool // the log will never take the intent
	opened   bool // the own not_run record opened the key again
	resendAt time.Time
	// supersedes is the attempt of a resendable key that the intent replaces.
	supersedes string
}

func (s *Service) arrive(r Request) *call {
	now := s.o.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &call{
		req: r, key: ledger.Key{Account: r.Key.ClientAccount, Value: r.Key.Value},
		base: s.state.Applied(), epoch: s.epoch, arrived: now,
		expires: now.Add(r.Retention + expirySlack), wakeup: make(chan struct{}, 1),
	}
	s.renew(c)
	if s.waiting[c.key] == nil {
		s.waiting[c.key] = map[*call]struct{}{}
	}
	s.waiting[c.key][c] = struct{}{}
	return c
}

// renew gives the call a new attempt and makes sure that the last one never
// runs.
func (s *Service) renew(c *call) {
	s.cancelIntent(c)
	delete(s.calls, c.attempt)
	c.attempt, c.decision = s.o.NewID(), ""
	c.sent, c.inFlight, c.landed = false, false, false
	s.calls[c.attempt] = c
}

func (s *Service) leave(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c.attempt)
	delete(s.waiting[c.key], c)
	if len(s.waiting[c.key]) == 0 {
		delete(s.waiting, c.key)
	}
}

func (c *call) poke() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// decided takes the decision on the own intent. One from a state that was
// built anew does not count: it may lack the record of an earlier winner.
func (c *call) decided(d ledger.Decision, epoch int) {
	if c.decision == "" && c.epoch == epoch {
		c.decision = d
	}
}

// sendIntent hands the intent to the appender; the caller holds the lock.
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
		c.poke()
	}})
}

func (c *call) appended(err error) {
	c.inFlight = false
	var unavailable *port.UnavailableError
	var limited *port.RateLimitedError
	var bad *port.BadRequestError
	switch {
	case errors.As(err, &bad):
		c.refused = true
	case errors.As(err, &unavailable), errors.As(err, &limited):
	default:
		c.landed = true // written, or the answer was lost
	}
}

// cancelIntent makes sure that an intent which won or may still win opens the
// key again.
func (s *Service) cancelIntent(c *call) {
	if c.decision == ledger.Won || c.decision == "" && (c.inFlight || c.landed) {
		s.sendNotRun(c)
	}
}

// sendNotRun closes an attempt for good, also if its intent lands later.
func (s *Service) sendNotRun(c *call) {
	s.enqueue("not-run-"+c.attempt, ledger.Record{NotRun: &ledger.NotRun{
		Key: c.key, Attempt: c.attempt, Expires: c.expires,
	}}, &item{keep: true, expires: c.expires})
}

func (s *Service) enqueue(id string, r ledger.Record, it *item) {
	data, err := ledger.Encode(r)
	if err != nil {
		s.o.Logger.Error("ledger record cannot be encoded", "id", id, "error", err)
		return
	}
	it.record = port.Record{ID: id, Data: data}
	s.appender.add(it)
}

// giveUp ends a call that was not dispatched and never will be; the caller
// holds the lock. Only two answers of "not run" are true: the own attempt won,
// so nothing else ran before, or the caller says that nothing was sent before.
func (s *Service) giveUp(c *call, cause error) error {
	e := s.state.Lookup(c.key)
	s.cancelIntent(c)
	won := c.decision == ledger.Won && !c.req.Resendable
	alone := e.ClosedAt == 0 && (e.Status == ledger.Open || e.Attempt == c.attempt && len(e.Previous) == 0)
	if won || c.req.First && alone {
		return &NotRunError{RetryAfter: retryAfter, Cause: cause}
	}
	return &MayHaveRunError{RetryAfter: retryAfter, Cause: cause}
}

// checkAge refuses a key whose entry may have been forgotten.
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

// firstUse is the age up to which an unknown key may run: until then the log
// still has every record that could name it, whatever the clocks differ by.
func (s *Service) firstUse(r Request) time.Duration {
	return min(r.Retention, s.o.Retention-min(2*clockSkew, s.o.Retention/4))
}

type fencingKey struct{}

// FencingToken returns the offset of the intent under which a Dispatch runs,
// for targets that refuse older tokens than they have seen.
func FencingToken(ctx context.Context) (port.Offset, bool) {
	token, ok := ctx.Value(fencingKey{}).(port.Offset)
	return token, ok
}
