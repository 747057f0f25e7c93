// Package allotments charges client accounts for their requests. It carries the messages
// between the decisions of package core/allotment on this router and those on the routers
// that hand out the tokens of the accounts, and lets requests wait for their answers.
package allotments

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Metrics counts events under stable names.
type Metrics interface {
	Add(name string, delta int64)
}

// Names of metrics. MetricGranted and MetricRefused count the requests of limited accounts
// that were charged and refused, MetricAsked the messages to other routers.
const (
	MetricGranted = "allotment_granted"
	MetricRefused = "allotment_refused"
	MetricAsked   = "allotment_asked"
)

// Options configures a Service. Self and Limits are required.
type Options struct {
	// Self is the router's name, Incarnation identifies the process.
	Self        string
	Incarnation uint64
	Settings    allotment.Settings
	// Clock is a boot clock; nil: the system clock.
	Clock port.Clock
	// Peer sends messages to other routers; nil: there are none.
	Peer port.DrawPeer
	// Limits returns the limit of a key in the configuration in force. It must not call
	// the Service.
	Limits func(allotment.Key) (allotment.Limit, bool)
	// Enabled reports whether the configuration in force has a limit; without one, Run sends
	// nothing. Nil: it has. It must not call the Service.
	Enabled func() bool
	// Logger and Metrics discard everything if nil.
	Logger  *slog.Logger
	Metrics Metrics
}

type noMetrics struct{}

func (noMetrics) Add(string, int64) {}

// Service charges the requests of one router. It is safe for concurrent use.
type Service struct {
	o Options
	// wake makes Run look at the due messages again.
	wake chan struct{}

	mu         sync.Mutex
	client     *allotment.Client
	allocators *allotment.Allocators
	waiting    map[uint64]chan allotment.Decision
	routers    routers
	// unknown are the keys of other routers that the configuration here does not hold.
	unknown map[allotment.Key]struct{}
	// nextLook is when Run looks at the due messages next, if nothing wakes it.
	nextLook time.Time
	// applied and mayAttach are what the decisions were told last.
	applied, mayAttach bool
	// logged holds the states last logged.
	logged []allotment.State
}

// New returns the service of a router that knows no other router. It grants nothing before
// RouterListed.
func New(o Options) *Service {
	if o.Clock == nil {
		o.Clock = port.SystemClock{}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	s := &Service{o: o, wake: make(chan struct{}, 1), waiting: map[uint64]chan allotment.Decision{}, unknown: map[allotment.Key]struct{}{},
		client: allotment.NewClient(o.Settings, o.Self, o.Incarnation, rand.Float64)}
	s.allocators = allotment.NewAllocators(s.client)
	now := o.Clock.Now()
	s.routers = routers{started: now, all: []string{o.Self}, alive: []string{o.Self}}
	s.applyRouters(now)
	return s
}

// RefusedError means that a request exceeds the allotment of its account. Nothing was charged.
type RefusedError struct {
	Key    allotment.Key
	Tokens float64
	Reason allotment.Reason
	// RetryAfter is the time after which there are tokens, with jitter; 0: the request can
	// never be admitted.
	RetryAfter time.Duration
	// Allocator is the router that hands out the tokens, and Attached reports whether this
	// router has its part of them.
	Allocator string
	Attached  bool
}

func (e *RefusedError) Error() string { return string(e.Reason) }

// Attrs returns the log attributes of the decision.
func (e *RefusedError) Attrs() []slog.Attr {
	return []slog.Attr{slog.Float64("cost", e.Tokens), slog.Float64("wait_ms", float64(e.RetryAfter.Milliseconds())),
		slog.String("allocator", e.Allocator), slog.Bool("attached", e.Attached)}
}

// Acquire charges a request, which waits for tokens as allotment.Client.Take says. It fails with a *RefusedError, or
// with the context's error. The charge of a request that did not run goes to Return.
func (s *Service) Acquire(ctx context.Context, key allotment.Key, limit allotment.Limit, tokens float64, maxDelay time.Duration) (allotment.Charge, error) {
	if limit.Rate <= 0 {
		return allotment.Charge{}, nil
	}
	d, decided := s.take(key, limit, tokens, maxDelay)
	if d.Outcome == allotment.Pending {
		var err error
		if d, err = s.await(ctx, key, d, decided); err != nil {
			return allotment.Charge{}, err
		}
	}
	if d.Outcome == allotment.Admitted {
		s.o.Metrics.Add(MetricGranted, 1)
		return d.Charge, nil
	}
	s.o.Metrics.Add(MetricRefused, 1)
	return allotment.Charge{}, s.refusal(key, tokens, d)
}

// take charges a request, or asks for tokens and returns where its decision arrives.
func (s *Service) take(key allotment.Key, limit allotment.Limit, tokens float64, maxDelay time.Duration) (allotment.Decision, <-chan allotment.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.client.Take(s.o.Clock.Now(), key, limit, tokens, maxDelay)
	if d.Outcome != allotment.Pending {
		return d, nil
	}
	decided := make(chan allotment.Decision, 1)
	s.waiting[d.Request] = decided
	s.dispatch()
	s.wakeBefore()
	return d, decided
}

// await waits for the decision on a pending request.
func (s *Service) await(ctx context.Context, key allotment.Key, pending allotment.Decision, decided <-chan allotment.Decision) (allotment.Decision, error) {
	timer := time.NewTimer(pending.Deadline.Sub(s.o.Clock.Now()))
	defer timer.Stop()
	for {
		select {
		case d := <-decided:
			return d, nil
		case <-timer.C:
			// The timer may run ahead of the boot clock.
			timer.Reset(max(pending.Deadline.Sub(s.expire()), time.Millisecond))
		case <-ctx.Done():
			return s.cancel(ctx, key, pending, decided)
		}
	}
}

// expire refuses the requests whose deadline has passed and returns the time.
func (s *Service) expire() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Clock.Now()
	s.deliver(s.client.Expire(now))
	return now
}

// cancel ends a pending request whose client has gone.
func (s *Service) cancel(ctx context.Context, key allotment.Key, pending allotment.Decision, decided <-chan allotment.Decision) (allotment.Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Clock.Now()
	select {
	case d := <-decided:
		if d.Outcome == allotment.Admitted {
			s.client.Return(now, d.Charge)
		}
	default:
		delete(s.waiting, pending.Request)
		s.client.Cancel(now, key, pending.Request)
	}
	return allotment.Decision{}, ctx.Err()
}

func (s *Service) refusal(key allotment.Key, tokens float64, d allotment.Decision) *RefusedError {
	e := &RefusedError{Key: key, Tokens: tokens, Reason: d.Reason, RetryAfter: d.RetryAfter}
	s.mu.Lock()
	defer s.mu.Unlock()
	states := s.client.States(s.o.Clock.Now())
	group := allotment.GroupOf(key, len(states))
	for _, state := range states {
		if state.Group == group {
			e.Allocator, e.Attached = state.Allocator, state.Bound
		}
	}
	return e
}

// Return gives back the charge of a request that did not run. Charges of accounts without a
// limit are ignored.
func (s *Service) Return(charge allotment.Charge) {
	if charge.Tokens <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.Return(s.o.Clock.Now(), charge)
}

// Charge charges a cost that became known only after the admission. It may go into debt.
func (s *Service) Charge(key allotment.Key, limit allotment.Limit, tokens float64) {
	if limit.Rate <= 0 || tokens <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.Charge(s.o.Clock.Now(), key, limit, tokens)
}

// Available returns the tokens of the key that this router could spend now.
func (s *Service) Available(key allotment.Key) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client.Available(s.o.Clock.Now(), key)
}

// Attached returns the number of routers attached to this one as their allocator, itself
// included.
func (s *Service) Attached() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocators.Attached(s.o.Clock.Now())
}

// HandleDraw answers the message of another router.
func (s *Service) HandleDraw(d allotment.Draw) allotment.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.Wants = s.admitKeys(d.Wants)
	return s.allocators.Handle(s.o.Clock.Now(), d, s.o.Limits)
}

// maxUnknownKeys bounds the keys without a limit in the configuration here for which other
// routers get tokens, and with them the memory that a peer can fill. Accounts that are added
// are unknown to some routers for seconds.
const maxUnknownKeys = 1024

// admitKeys leaves out what concerns too many keys that the configuration does not hold.
// s.mu must be held.
func (s *Service) admitKeys(wants []allotment.Want) []allotment.Want {
	return slices.DeleteFunc(wants, func(w allotment.Want) bool {
		if _, known := s.o.Limits(w.Key); known {
			delete(s.unknown, w.Key)
			return false
		}
		if _, seen := s.unknown[w.Key]; !seen && len(s.unknown) >= maxUnknownKeys {
			return true
		}
		s.unknown[w.Key] = struct{}{}
		return false
	})
}

// SetRouters sets the other routers. One that is out of contact but may still run shares the
// limits, so that a partition does not raise the part of any router.
func (s *Service) SetRouters(others []membership.Router) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers.set(s.o.Self, others)
	s.applied = false
	s.applyRouters(s.o.Clock.Now())
	s.wakeLoop()
}
