package observe

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// followInterval is the time between two reads of a target that is followed.
	// It is half of the time for which placement takes the silence of events to
	// mean that blocks are still cached.
	followInterval = 5 * time.Second
	// budgetDepth is the time for which an unused budget is kept.
	budgetDepth = 10 * time.Second
	// rateStep is the gain of the average rate of a target's events.
	rateStep = 0.3
	// A target whose events do not fit is left alone for restMin, and for twice
	// the time after each further attempt.
	restMin = time.Minute
	restMax = time.Hour
	// exchangeBytes is about what the headers of a read and of its answer take.
	exchangeBytes = 300
	// minRate is the rate of a target without events, in bytes per second.
	minRate = exchangeBytes / 5.0
)

// stream is how far the cache events of one target were read.
type stream struct {
	address     string
	incarnation port.Incarnation
	// after is the sequence number of the last event read.
	after  uint64
	due    time.Time
	readAt time.Time
	// rate is the average of what reading takes, in bytes per second. It is a
	// guess until measured is set.
	rate     float64
	measured bool
	// rest is the length of the last rest, until its end.
	rest  time.Duration
	until time.Time
}

// eventFollower reads the cache events of as many targets as a budget allows.
// Events cannot be asked for in part, so a read may exceed what is left; then
// nothing is read until the budget has recovered.
type eventFollower struct {
	// budget is in bytes per second; 0 reads nothing.
	budget float64
	level  float64
	filled time.Time
	// followed are read in turn; streams holds them and those that rest.
	followed []*stream
	streams  map[string]*stream
	cursor   int
}

// newEventFollower starts at a place that depends on the router, so that the
// routers of a large site follow different targets.
func newEventFollower(bytesPerSecond int, router string) *eventFollower {
	return &eventFollower{budget: float64(bytesPerSecond), streams: map[string]*stream{},
		cursor: int(xxhash.Sum64String(router) >> 33)}
}

// next returns the stream to read now, or nil.
func (f *eventFollower) next(now time.Time, targets []engineTarget) *stream {
	f.refill(now)
	f.forget(targets)
	if f.level <= 0 || len(targets) == 0 {
		return nil
	}
	var next *stream
	for _, s := range f.followed {
		if !s.due.After(now) && (next == nil || s.due.Before(next.due)) {
			next = s
		}
	}
	if next == nil && f.allMeasured() && f.rate()+max(f.rate()/float64(max(len(f.followed), 1)), minRate) <= f.budget {
		next = f.add(now, targets)
	}
	return next
}

func (f *eventFollower) refill(now time.Time) {
	depth := f.budget * budgetDepth.Seconds()
	if f.filled.IsZero() {
		f.level = f.budget
	} else {
		f.level = min(f.level+f.budget*now.Sub(f.filled).Seconds(), depth)
	}
	f.filled = now
}

// forget drops the targets that are no longer in the configuration.
func (f *eventFollower) forget(targets []engineTarget) {
	gone := func(address string) bool {
		_, found := slices.BinarySearchFunc(targets, address, func(t engineTarget, address string) int {
			return strings.Compare(t.Address, address)
		})
		return !found
	}
	f.followed = slices.DeleteFunc(f.followed, func(s *stream) bool { return gone(s.address) })
	for address := range f.streams {
		if gone(address) {
			delete(f.streams, address)
		}
	}
}

// allMeasured reports whether no target is on trial. One at a time is, because
// its first reads may take any number of bytes.
func (f *eventFollower) allMeasured() bool {
	return !slices.ContainsFunc(f.followed, func(s *stream) bool { return !s.measured })
}

// rate is what the targets followed take, in bytes per second.
func (f *eventFollower) rate() float64 {
	sum := 0.0
	for _, s := range f.followed {
		sum += s.rate
	}
	return sum
}

// add follows the next target that neither is followed nor rests.
func (f *eventFollower) add(now time.Time, targets []engineTarget) *stream {
	for range targets {
		f.cursor++
		address := targets[f.cursor%len(targets)].Address
		s := f.streams[address]
		if s == nil {
			s = &stream{address: address}
			f.streams[address] = s
		}
		if now.Before(s.until) || slices.Contains(f.followed, s) {
			continue
		}
		s.rate, s.measured, s.readAt = minRate, false, time.Time{}
		f.followed = append(f.followed, s)
		return s
	}
	return nil
}

// took charges a read. While the targets followed take more than the budget, the
// one that takes most is given up.
func (f *eventFollower) took(now time.Time, s *stream, bytes int) {
	f.level -= float64(bytes)
	s.due = now.Add(followInterval)
	// The first read shows what the engine kept, not how much it sends.
	if elapsed := now.Sub(s.readAt).Seconds(); !s.readAt.IsZero() && elapsed > 0 {
		step := rateStep
		if !s.measured {
			step, s.measured = 1, true
		}
		s.rate += step * (float64(bytes)/elapsed - s.rate)
	}
	s.readAt = now
	for f.rate() > f.budget {
		f.giveUp(now, slices.MaxFunc(f.followed, func(a, b *stream) int { return cmp.Compare(a.rate, b.rate) }))
	}
}

func (f *eventFollower) giveUp(now time.Time, s *stream) {
	f.followed = slices.DeleteFunc(f.followed, func(other *stream) bool { return other == s })
	s.rest = min(max(2*s.rest, restMin), restMax)
	s.until = now.Add(s.rest)
}

// readEvents reads the events of one target, if one is due and the budget allows
// it. The placer sees every event in order, so it notices gaps.
func (o *Observer) readEvents(ctx context.Context, targets []engineTarget) {
	s := o.events.next(o.Clock.Now(), targets)
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	answer, err := o.Engine.Events(ctx, s.address, s.after, 0)
	now := o.Clock.Now()
	o.events.took(now, s, answerBytes(answer))
	if err != nil {
		o.Logger.Debug("cache events not read", slog.String("target", s.address), slog.Any("error", err))
		return
	}
	if s.incarnation != answer.Incarnation && s.after > 0 {
		// The new engine counts from the start, so this answer may lack events.
		s.incarnation, s.after, s.due = answer.Incarnation, 0, now
		return
	}
	s.incarnation = answer.Incarnation
	o.Placer.ObserveEvents(now, s.address, s.after, answer)
	if n := len(answer.Events); n > 0 {
		s.after = answer.Events[n-1].Seq
	}
}

// answerBytes is about what an answer takes on the wire.
func answerBytes(e port.CacheEvents) int {
	const eventBytes, blockBytes = len(`{"seq":,"op":"","scope":"","blocks":[]},`), len(`"0123456789abcdef",`)
	sum := exchangeBytes + len(e.Incarnation)
	for _, event := range e.Events {
		sum += eventBytes + len(strconv.FormatUint(event.Seq, 10)) + len(event.Op) + len(event.Scope) + blockBytes*len(event.Blocks)
	}
	return sum
}
