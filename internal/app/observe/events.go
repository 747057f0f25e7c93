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
	// eventReadInterval is the time between two reads of an active target. It is
	// half of the time for which placement assumes without new events that blocks
	// are still cached.
	eventReadInterval = 5 * time.Second
	// budgetWindow is the time over which an unused budget accumulates.
	budgetWindow = 10 * time.Second
	// rateSmoothing is the weight of a new sample in the average event rate of a
	// target.
	rateSmoothing = 0.3
	// A target whose events exceed the budget is suspended for minBackoff, and for
	// twice the time after each further attempt, up to maxBackoff.
	minBackoff = time.Minute
	maxBackoff = time.Hour
	// headerBytes is the approximate size of the headers of a read and its response.
	headerBytes = 300
	// idleRate is the rate of a target without events, in bytes per second.
	idleRate = headerBytes / 5.0
)

// eventStream is the read state of the cache events of one target.
type eventStream struct {
	address     string
	incarnation port.Incarnation
	// lastSeq is the sequence number of the last event read.
	lastSeq  uint64
	nextRead time.Time
	lastRead time.Time
	// rate is the average traffic of reading the events, in bytes per second. It is
	// an estimate until measured is set.
	rate     float64
	measured bool
	// backoff is the length of the last suspension, which ends at backoffUntil.
	backoff      time.Duration
	backoffUntil time.Time
}

// eventReader schedules reads of cache events of as many targets as a budget allows.
// The size of a response cannot be limited, so a read may overdraw the budget; then
// nothing is read until the budget has recovered.
type eventReader struct {
	// budget is in bytes per second; 0 disables reading. availableBytes is the part
	// of the budget that is unspent as of refilledAt.
	budget         float64
	availableBytes float64
	refilledAt     time.Time
	// active holds the streams that are read in turn; streams also holds the
	// suspended ones.
	active  []*eventStream
	streams map[string]*eventStream
	cursor  int
}

// newEventReader returns a reader that starts at a position derived from the router's
// name, so that the routers of a large site read different targets.
func newEventReader(bytesPerSecond int, router string) *eventReader {
	return &eventReader{budget: float64(bytesPerSecond), streams: map[string]*eventStream{},
		cursor: int(xxhash.Sum64String(router) >> 33)}
}

// next returns the stream to read now, or nil.
func (r *eventReader) next(now time.Time, targets []engineTarget) *eventStream {
	r.refill(now)
	r.removeMissing(targets)
	if r.availableBytes <= 0 || len(targets) == 0 {
		return nil
	}
	var next *eventStream
	for _, s := range r.active {
		if !s.nextRead.After(now) && (next == nil || s.nextRead.Before(next.nextRead)) {
			next = s
		}
	}
	if next == nil && r.allMeasured() && r.rate()+max(r.rate()/float64(max(len(r.active), 1)), idleRate) <= r.budget {
		next = r.addStream(now, targets)
	}
	return next
}

func (r *eventReader) refill(now time.Time) {
	limit := r.budget * budgetWindow.Seconds()
	if r.refilledAt.IsZero() {
		r.availableBytes = r.budget
	} else {
		r.availableBytes = min(r.availableBytes+r.budget*now.Sub(r.refilledAt).Seconds(), limit)
	}
	r.refilledAt = now
}

// removeMissing drops the targets that are no longer in the configuration.
func (r *eventReader) removeMissing(targets []engineTarget) {
	removed := func(address string) bool {
		_, found := slices.BinarySearchFunc(targets, address, func(t engineTarget, address string) int {
			return strings.Compare(t.Address, address)
		})
		return !found
	}
	r.active = slices.DeleteFunc(r.active, func(s *eventStream) bool { return removed(s.address) })
	for address := range r.streams {
		if removed(address) {
			delete(r.streams, address)
		}
	}
}

// allMeasured reports whether the rates of all active targets are measured. Targets
// are added one at a time, because the first reads of a target may take any number
// of bytes.
func (r *eventReader) allMeasured() bool {
	return !slices.ContainsFunc(r.active, func(s *eventStream) bool { return !s.measured })
}

// rate returns the total rate of the active targets in bytes per second.
func (r *eventReader) rate() float64 {
	total := 0.0
	for _, s := range r.active {
		total += s.rate
	}
	return total
}

// addStream activates the next target that is neither active nor suspended.
func (r *eventReader) addStream(now time.Time, targets []engineTarget) *eventStream {
	for range targets {
		r.cursor++
		address := targets[r.cursor%len(targets)].Address
		s := r.streams[address]
		if s == nil {
			s = &eventStream{address: address}
			r.streams[address] = s
		}
		if now.Before(s.backoffUntil) || slices.Contains(r.active, s) {
			continue
		}
		s.rate, s.measured, s.lastRead = idleRate, false, time.Time{}
		r.active = append(r.active, s)
		return s
	}
	return nil
}

// recordRead charges a read to the budget and updates the rate of the target. While
// the active targets exceed the budget, it suspends the one with the highest rate.
func (r *eventReader) recordRead(now time.Time, s *eventStream, bytes int) {
	r.availableBytes -= float64(bytes)
	s.nextRead = now.Add(eventReadInterval)
	// The first read returns the events that the engine retained, not its rate.
	if elapsed := now.Sub(s.lastRead).Seconds(); !s.lastRead.IsZero() && elapsed > 0 {
		gain := rateSmoothing
		if !s.measured {
			gain, s.measured = 1, true
		}
		s.rate += gain * (float64(bytes)/elapsed - s.rate)
	}
	s.lastRead = now
	for r.rate() > r.budget {
		r.suspend(now, slices.MaxFunc(r.active, func(a, b *eventStream) int { return cmp.Compare(a.rate, b.rate) }))
	}
}

func (r *eventReader) suspend(now time.Time, s *eventStream) {
	r.active = slices.DeleteFunc(r.active, func(other *eventStream) bool { return other == s })
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.backoffUntil = now.Add(s.backoff)
}

// readEvents reads the events of one target if one is due and the budget allows it.
// The placer receives every event in order, so it detects gaps.
func (o *Observer) readEvents(ctx context.Context, targets []engineTarget) {
	s := o.events.next(o.Clock.Now(), targets)
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	response, err := o.Engine.Events(ctx, s.address, s.lastSeq, 0)
	now := o.Clock.Now()
	o.events.recordRead(now, s, responseBytes(response))
	if err != nil {
		o.Logger.Debug("failed to read cache events", slog.String("target", s.address), slog.Any("error", err))
		return
	}
	if s.incarnation != response.Incarnation && s.lastSeq > 0 {
		// The new incarnation numbers its events from the start, so this response
		// may lack events.
		s.incarnation, s.lastSeq, s.nextRead = response.Incarnation, 0, now
		return
	}
	s.incarnation = response.Incarnation
	o.Placer.ObserveEvents(now, s.address, s.lastSeq, response)
	if n := len(response.Events); n > 0 {
		s.lastSeq = response.Events[n-1].Seq
	}
}

// responseBytes returns the approximate size of a response on the wire.
func responseBytes(e port.CacheEvents) int {
	const eventBytes, blockBytes = len(`{"seq":,"op":"","scope":"","blocks":[]},`), len(`"0123456789abcdef",`)
	total := headerBytes + len(e.Incarnation)
	for _, event := range e.Events {
		total += eventBytes + len(strconv.FormatUint(event.Seq, 10)) + len(event.Op) + len(event.Scope) + blockBytes*len(event.Blocks)
	}
	return total
}
