package gateway

import (
	"context"
	"log/slog"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/balance"
	"mimosaseam.example/mimosaseam/internal/port"
)

// fullAnswerFactor is how much longer than the mean of its recent answers a target takes when it
// is nearly full: while all are, the mean is of such answers too.
const fullAnswerFactor = 1.25

// allBusy describes a service whose targets have all just refused a request for lack of
// capacity.
type allBusy struct {
	// wait is the time until the first of them takes requests again.
	wait time.Duration
	// answer is how long that target then takes for a request, which waits behind others.
	answer time.Duration
}

// busy describes the targets that could serve the request. Its wait is 0 unless all of them have
// just refused one.
func (x *exchange) busy(now time.Time) (first allBusy) {
	eligible := x.eligible(x.g.Directory.Service(x.service))
	for i := range eligible {
		t := &eligible[i]
		if t.statements.WaitLeft(now) > 0 || now.Before(t.PausedUntil) || !x.g.circuits.Available(now, t.ID) {
			continue // not for lack of capacity
		}
		left := x.g.circuits.BusyLeft(now, t.ID)
		if left == 0 {
			return allBusy{} // a rate keeps it from use
		}
		if first.wait == 0 || left < first.wait {
			first = allBusy{left, fullAnswer(t)}
		}
	}
	return first
}

// fullAnswer returns how long a plain target takes for a request that it accepts when it is
// nearly full.
func fullAnswer(t *Target) time.Duration { return duration(fullAnswerFactor * t.answerMs) }

// latestHeld returns how long a request may be held back while all targets are full: as long as
// its answer is still in time. Later, the capacity goes to requests that can be in time. Where a
// full target is too slow for the objective, the request waits as for any target.
func (x *exchange) latestHeld(start time.Time, answer time.Duration) time.Time {
	if answer >= x.route.Objective {
		return start.Add(x.maxTargetWait())
	}
	return x.r.Received.Add(x.route.Objective - answer)
}

// fullTooLong reports whether all plain targets have just refused a request and none takes one
// before the time, or before an answer would be late.
func (x *exchange) fullTooLong(ctx context.Context, last time.Time) bool {
	if x.engine != nil || !x.refusable() {
		return false
	}
	now := x.g.Clock.Now()
	b := x.busy(now)
	if held := x.latestHeld(now, b.answer); held.Before(last) {
		last = held
	}
	if b.wait == 0 || !now.Add(b.wait).After(last) {
		return false
	}
	x.retryAfter = max(x.retryAfter, b.wait)
	x.g.Metrics.Add(MetricNotAdmitted+"_full", 1)
	x.g.Log.LogAttrs(ctx, slog.LevelInfo, "not admitted", slog.String("request", x.r.ID), slog.String("why", "full"),
		slog.Float64("wait_ms", ms(b.wait)), slog.Float64("answer_ms", ms(b.answer)), slog.Float64("left_ms", ms(last.Sub(now))))
	return true
}

// plainDelay returns the time until a plain target has room. A request is held back only while
// it is certain that none has: what a router knows of the other routers' requests is older than
// the requests take, and a target that could have taken one is worth more than the order in
// which requests wait.
func (x *exchange) plainDelay(now time.Time, k *ranking) time.Duration {
	best := &k.targets[k.order[0]]
	// The target has worked since its report; requests that came later may have been refused.
	queue := duration(k.queueMs) - now.Sub(best.Load.MeasuredAt)
	if best.Load.MeasuredAt.IsZero() || best.InFlight >= max(best.Slots, 1) {
		queue = duration(k.queueMs)
	}
	if queue > 0 && queue+duration(k.unloadedMs) > x.deadline.Sub(now) {
		return queue
	}
	first := time.Duration(0)
	for i := range k.targets {
		t := &k.targets[i]
		wait := t.full.RoomWait(now, t.Load.MeasuredAt, t.Load.Running+t.Load.Waiting, t.Slots, duration(t.answerMs))
		if wait == 0 {
			return 0
		}
		if first == 0 || wait < first {
			first = wait
		}
	}
	return first
}

// observeFull records the number of requests with which a target refused one.
func (d *Directory) observeFull(id string, load *port.LoadReport) {
	if load == nil || load.Waiting == 0 && load.Running < load.Slots {
		return
	}
	now := d.clock.Now()
	d.update(id, func(t *Target) { t.full = &balance.FullBound{InFlight: load.Running + load.Waiting, Seen: now} })
}
