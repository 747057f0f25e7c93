package gateway

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// busyFor returns the time until the first target takes requests again if all that could serve
// the request have just refused one for lack of capacity, 0 otherwise.
func (x *exchange) busyFor(now time.Time) time.Duration {
	first := time.Duration(0)
	eligible := x.eligible(x.g.Directory.Service(x.service))
	for i := range eligible {
		t := &eligible[i]
		if t.statements.WaitLeft(now) > 0 || now.Before(t.PausedUntil) || !x.g.circuits.Available(now, t.ID) {
			continue // not for lack of capacity
		}
		left := x.g.circuits.BusyLeft(now, t.ID)
		if left == 0 {
			return 0 // a rate keeps it from use
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
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
		wait := t.Full.RoomWait(now, t.Load.MeasuredAt, t.Load.Running+t.Load.Waiting, t.Slots, duration(t.ServiceMs))
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
	d.update(id, func(t *Target) { t.Full = t.Full.Refused(now, load.Running+load.Waiting) })
}
