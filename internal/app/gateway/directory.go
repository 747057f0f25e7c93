package gateway

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/balance"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/targetstate"
	"mimosaseam.example/mimosaseam/internal/core/workload"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// requestTransit covers the time that a request takes to reach its target.
	requestTransit = 500 * time.Millisecond
	// removedRetention is how long a removed target is retained.
	removedRetention = 30 * time.Second
	// leavingRetention is how long a removed target is retained that has said that it
	// leaves: an older copy of its entry may come back and say otherwise.
	leavingRetention = 10 * time.Minute
	// busyBackoff is how long a target is skipped after it refused a request for lack of
	// capacity or because its weights changed.
	busyBackoff = 150 * time.Millisecond
	// loadingPause is how long a target is skipped that probably loads newer weights:
	// less than a load takes, since it is unknown how much of it has passed.
	loadingPause = 700 * time.Millisecond
	// replacedPause is how long a target is skipped at whose address another one has
	// responded. By then its entry has expired, or it is the target after all.
	replacedPause = 3 * time.Second
	// loadReportTTL is the age after which a target's load report is ignored.
	loadReportTTL = workload.ReportTTL
)

// Target is the known state of one target.
type Target struct {
	port.TargetEntry
	// incarnation is kept because formatting it for each target of each ranking takes
	// more time than the rest of the loop.
	incarnation port.Incarnation
	// LeavingSince is when the target was first seen leaving or lost its entry; zero: it is
	// not leaving.
	LeavingSince time.Time
	// statements are what this incarnation has said of itself.
	statements targetstate.Statements
	// Removed is set when the target's entry is gone.
	Removed bool
	// weightsSeen is when the target last reported the known version of a model. Copies of
	// Target share it: it is used under the directory's lock only.
	weightsSeen map[string]time.Time
	// PausedUntil is the time until which a weights order keeps the target from starting
	// requests.
	PausedUntil time.Time
	Load        port.LoadReport
	// full is what is known of the number of requests at which the target refuses more; nil:
	// nothing. It is not changed: copies of Target share it.
	full *balance.FullBound
	// answerMs is the mean time to an answer in ms, with the wait on the target; 0: unknown.
	answerMs float64
	// work is the state of a plain target's work, nil if nothing is known. It is replaced as a
	// whole, so that copies of Target stay as they are.
	work *workload.Target
	// Reliability is estimated from this router's own requests.
	Reliability balance.Reliability
	InFlight    int
	// ColdUntil is the end of the target's slow start.
	ColdUntil time.Time
	// LastActivity is when the last byte from the target was received.
	LastActivity time.Time
	// exchange tells whether the target owes this router a response.
	exchange targetExchange
}

// Incarnation returns the incarnation of the target.
func (t *Target) Incarnation() port.Incarnation { return t.incarnation }

// Directory holds the known state of all targets. It is safe for concurrent use.
type Directory struct {
	log    *slog.Logger
	clock  port.Clock
	placer placement.Placer

	// grace is how long a target that is leaving or has lost its entry may still be used
	// when no other is left. Entries also expire during an outage of the log, and are
	// restored within 2 s of its end.
	grace time.Duration

	ends endObserver

	mu      sync.Mutex
	targets map[string]*Target
	// byService holds the targets of each service in the order of their ids; nil: it must
	// be made again.
	byService map[string][]*Target
}

// LeavingGrace returns how long a target may be used after it was first seen leaving, so
// that it gets no requests later than the bound after it began to leave. interval is the
// time between two reads of the entries.
func LeavingGrace(bound, interval time.Duration) time.Duration {
	return max(0, bound-interval-requestTransit)
}

// NewDirectory returns an empty directory.
func NewDirectory(log *slog.Logger, clock port.Clock, placer placement.Placer, grace time.Duration) *Directory {
	return &Directory{log: log, clock: clock, placer: placer, grace: grace, targets: map[string]*Target{}}
}

// endObserver is told of targets whose entries tell that they have ended.
type endObserver interface {
	recordEnd(t Target, proven bool, why string)
	recordRestored(t Target)
}

// observeEnds sets the observer. It must be called before the first entry.
func (d *Directory) observeEnds(o endObserver) { d.ends = o }

// SetGrace changes how long a leaving target may still be used.
func (d *Directory) SetGrace(grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grace = grace
}

// Put stores the newest entry of a target. Entries of earlier incarnations are ignored.
func (d *Directory) Put(e port.TargetEntry) {
	ended, restored := d.put(e)
	if d.ends == nil {
		return
	}
	for _, t := range ended {
		d.ends.recordEnd(t, true, "replaced by "+e.ID)
	}
	if restored != nil {
		d.ends.recordRestored(*restored)
	}
}

// put stores the entry. It returns the targets that it replaces, and the target itself if its
// entry was gone.
func (d *Directory) put(e port.TargetEntry) (ended []Target, restored *Target) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.targets[e.ID]
	if old != nil && e.StartedAt.Before(old.StartedAt) {
		d.log.Info("target entry ignored", "target", e.ID, "why", "an earlier incarnation", "born", e.StartedAt, "known_born", old.StartedAt)
		return nil, nil
	}
	t := &Target{TargetEntry: e, incarnation: e.Incarnation(), LastActivity: now}
	if old != nil && old.Incarnation() == e.Incarnation() && old.Address == e.Address {
		*t = *old
		t.TargetEntry, t.Removed = e, false
		t.Weights = mergeWeights(old.Weights, e.Weights)
		d.onWeightsChange(t, old.Weights)
		if old.Removed {
			restored = old
		}
	} else {
		d.placer.DropCache(e.Address)
		ended = d.replacedBy(e)
	}
	t.ColdUntil = now.Add(e.ColdRemaining)
	if e.Leaving {
		t.statements.Leave(now)
	}
	switch {
	case !t.statements.Leaving():
		t.LeavingSince = time.Time{}
	case t.LeavingSince.IsZero():
		t.LeavingSince = now
	}
	if old == nil || old.Leaving != e.Leaving || old.Incarnation() != e.Incarnation() || old.Removed {
		d.log.Info("target", "target", e.ID, "address", e.Address, "service", e.Service, "availability_zone", e.AvailabilityZone,
			"leaving", e.Leaving, "born", e.StartedAt, "weights", e.Weights)
	}
	d.targets[e.ID], d.byService = t, nil
	return ended, restored
}

// replacedBy returns copies of the targets that have ended because another incarnation or
// another target was started at their address.
func (d *Directory) replacedBy(e port.TargetEntry) []Target {
	var out []Target
	for _, t := range d.targets {
		if t.Address == e.Address && t.StartedAt.Before(e.StartedAt) {
			out = append(out, *t)
		}
	}
	return out
}

// Remove records that the entry of a target is gone.
func (d *Directory) Remove(id string) {
	if t := d.remove(id); t != nil && d.ends != nil {
		d.ends.recordEnd(*t, false, "entry removed")
	}
}

func (d *Directory) remove(id string) *Target {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[id]
	if t == nil || t.Removed {
		return nil
	}
	t.Removed = true
	if t.LeavingSince.IsZero() {
		t.LeavingSince = now
	}
	d.log.Info("target removed", "target", id, "service", t.Service, "in_flight", t.InFlight)
	removed := *t
	return &removed
}

// Retain removes all targets whose id is not in ids.
func (d *Directory) Retain(ids map[string]bool) {
	d.mu.Lock()
	var gone []string
	for id := range d.targets {
		if !ids[id] {
			gone = append(gone, id)
		}
	}
	d.mu.Unlock()
	for _, id := range gone {
		d.Remove(id)
	}
}

// Prune deletes targets that were removed long ago and have no requests in flight.
func (d *Directory) Prune() {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, t := range d.targets {
		retention := removedRetention
		if t.statements.Leaving() {
			retention = leavingRetention
		}
		if t.Removed && t.InFlight == 0 && now.Sub(t.LeavingSince) > retention {
			delete(d.targets, id)
			d.byService = nil
		}
	}
}

// Service returns copies of the targets that may take a request of the service,
// in the order of their ids. Leaving targets are included only while no other is left,
// and no longer than the grace period.
func (d *Directory) Service(service string) []Target {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.sorted()[service]
	out := make([]Target, 0, len(all))
	for _, t := range all {
		if t.LeavingSince.IsZero() {
			out = append(out, *t)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, t := range all {
		if d.mayUse(now, t) {
			out = append(out, *t)
		}
	}
	return out
}

// sorted returns the targets by service, in the order of their ids. Ranking asks for them
// with every request, and they rarely change.
func (d *Directory) sorted() map[string][]*Target {
	if d.byService == nil {
		d.byService = map[string][]*Target{}
		for _, t := range d.targets {
			d.byService[t.Service] = append(d.byService[t.Service], t)
		}
		for _, targets := range d.byService {
			slices.SortFunc(targets, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
		}
	}
	return d.byService
}

// sortedCopies returns copies of the targets in the order of their ids.
func sortedCopies(targets []*Target) []Target {
	slices.SortFunc(targets, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	out := make([]Target, len(targets))
	for i, t := range targets {
		out[i] = *t
	}
	return out
}

// All returns copies of all targets that are not leaving.
func (d *Directory) All() []Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*Target, 0, len(d.targets))
	for _, t := range d.targets {
		if t.LeavingSince.IsZero() {
			out = append(out, t)
		}
	}
	return sortedCopies(out)
}

// serviceAt returns the service of the target at the address, empty if unknown.
func (d *Directory) serviceAt(address string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		if t.Address == address {
			return t.Service
		}
	}
	return ""
}

// update calls change on the target if it is still known.
func (d *Directory) update(id string, change func(t *Target)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.targets[id]; t != nil {
		change(t)
	}
}

// begin counts a request that is sent to the target. sent is nil for requests to engines.
func (d *Directory) begin(id string, sent *workload.Sent) {
	now := d.clock.Now()
	d.update(id, func(t *Target) {
		t.InFlight++
		t.exchange.sent(now)
		if sent != nil {
			t.changeWork(func(w *workload.Target) { w.Begin(*sent) })
		}
	})
}

// end counts a request as finished. took is the time to the complete response, 0 if there
// was none.
func (d *Directory) end(id string, took time.Duration, rating targetRating) {
	now := d.clock.Now()
	d.update(id, func(t *Target) {
		t.InFlight--
		if t.InFlight == 0 && rating != ratingBad {
			t.exchange.settled()
		}
		if rating != ratingNone {
			t.Reliability = t.Reliability.Observe(now, rating == ratingBad)
		}
		if took > 0 {
			ms := float64(took) / float64(time.Millisecond)
			if t.answerMs == 0 {
				t.answerMs = ms
			}
			t.answerMs += answerGain * (ms - t.answerMs)
		}
	})
}

// answerGain is the weight of a new sample in the moving average of answer times.
const answerGain = 0.1

// targetRating rates a target by one request.
type targetRating int

const (
	// ratingNone: the target refused the request, or the client disconnected.
	ratingNone targetRating = iota
	ratingGood
	ratingBad
)

// recordActivity records the end of a read from the target. hasBytes is set if it returned any.
func (d *Directory) recordActivity(id string, hasBytes bool) {
	now := d.clock.Now()
	d.update(id, func(t *Target) {
		t.LastActivity = now
		if hasBytes {
			t.exchange.received(now)
		}
	})
}

func (d *Directory) lastActivity(id string) (at time.Time) {
	d.update(id, func(t *Target) { at = t.LastActivity })
	return at
}

// observeHeaders records the load and weights that a response's headers report.
// The request was sent at that time.
func (d *Directory) observeHeaders(id, model string, a port.ForwardResponse, sent time.Time) {
	now := d.clock.Now()
	d.update(id, func(t *Target) {
		t.LastActivity = now
		if a.Load != nil {
			t.Load = *a.Load
			t.full = t.full.Accepted(a.Load.Running + a.Load.Waiting)
			t.Load.MeasuredAt = now
		}
		d.observeWeights(t, model, a.Weights, sent)
	})
}

// SetPaused records that a weights order keeps the target from starting requests.
func (d *Directory) SetPaused(id string, until time.Time) {
	d.update(id, func(t *Target) { t.PausedUntil = until })
}

// observeStatement records what an incarnation of a target said of itself in its response to
// a request.
func (d *Directory) observeStatement(id string, incarnation port.Incarnation, request string, s port.TargetStatement) {
	now := d.clock.Now()
	d.update(id, func(t *Target) {
		if t.incarnation != incarnation {
			return
		}
		t.exchange.received(now)
		if s.Leaving && t.statements.Leave(now) {
			if t.LeavingSince.IsZero() {
				t.LeavingSince = now
			}
			d.log.Info("target leaving", "target", string(incarnation), "request", request, "entry_leaving", t.Leaving, "entry_removed", t.Removed,
				"in_flight", t.InFlight)
		}
		if t.statements.Wait(now, s.Wait) {
			d.log.Info("target wait", "target", string(incarnation), "request", request, "wait_ms", ms(s.Wait), "in_flight", t.InFlight)
		}
	})
}

// accepts reports whether a target may still get a request that was ranked with this copy of
// its state.
func (d *Directory) accepts(ranked *Target) bool {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[ranked.ID]
	return t != nil && t.incarnation == ranked.incarnation && t.LeavingSince.Equal(ranked.LeavingSince) && d.mayUse(now, t) &&
		t.statements.WaitLeft(now) == 0
}

// mayUse reports whether a target is not leaving, or still within the grace period.
func (d *Directory) mayUse(now time.Time, t *Target) bool {
	return t.LeavingSince.IsZero() || now.Sub(t.LeavingSince) < d.grace
}
