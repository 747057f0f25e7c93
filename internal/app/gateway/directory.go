package gateway

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/balance"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// requestMargin covers the way of a request to its target.
	requestMargin = 500 * time.Millisecond
	// keepRemoved is how long a removed target is remembered.
	keepRemoved = 30 * time.Second
	// busyFor is how long a target that refused for lack of room is passed over.
	busyFor = 150 * time.Millisecond
	// loadFreshFor is the age after which a target's own count says nothing.
	loadFreshFor = 2 * time.Second
)

// Target is what is believed of one target.
type Target struct {
	port.TargetEntry
	// LeavingSince is when the target was first seen to leave; zero: it stays.
	LeavingSince time.Time
	// Removed says that the entry is gone.
	Removed bool
	// OrderedUntil is until when an order keeps the target from starting requests.
	OrderedUntil time.Time
	Load         port.LoadReport
	// ExplainedLoad is the router's own part of Load.
	ExplainedLoad int
	ServiceMs     float64
	// Reliability is what this router's own requests showed.
	Reliability balance.Reliability
	InFlight    int
	// ColdUntil is the end of the target's slow start.
	ColdUntil time.Time
	// Heard is when the target last sent any byte.
	Heard time.Time
}

// Directory holds what is believed of all targets. It is safe for concurrent use.
type Directory struct {
	log    *slog.Logger
	clock  port.Clock
	placer placement.Placer

	// grace is how long a target that leaves, or whose entry vanished, may still be
	// used when no other is left: entries also lapse while the log is away, and are
	// back within 2 s of its return.
	grace time.Duration

	mu      sync.Mutex
	targets map[string]*Target
}

// LeavingGrace returns how long a target may be used after it was seen to leave,
// when it must get no requests within the bound and the entries are read at the
// interval.
func LeavingGrace(bound, interval time.Duration) time.Duration {
	return max(0, bound-interval-requestMargin)
}

// NewDirectory returns an empty directory.
func NewDirectory(log *slog.Logger, clock port.Clock, placer placement.Placer, grace time.Duration) *Directory {
	return &Directory{log: log, clock: clock, placer: placer, grace: grace, targets: map[string]*Target{}}
}

// SetGrace changes how long a target that leaves may still be used.
func (d *Directory) SetGrace(grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grace = grace
}

// Put takes the newest entry of a target.
func (d *Directory) Put(e port.TargetEntry) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.targets[e.ID]
	if old != nil && e.Born.Before(old.Born) {
		d.log.Info("target entry ignored", "target", e.ID, "why", "an earlier life", "born", e.Born, "known_born", old.Born)
		return
	}
	t := &Target{TargetEntry: e, Heard: now}
	if old != nil && old.Incarnation() == e.Incarnation() && old.Address == e.Address {
		*t = *old
		t.TargetEntry, t.Removed = e, false
		t.Weights = newestWeights(old.Weights, e.Weights)
		d.noteWeights(t, old.Weights)
	} else {
		d.placer.DropCache(e.Address)
	}
	t.ColdUntil = now.Add(e.ColdFor)
	if !e.Leaving && (old == nil || !old.Leaving) {
		t.LeavingSince = time.Time{}
	} else if t.LeavingSince.IsZero() {
		t.LeavingSince = now
	}
	if old == nil || old.Leaving != e.Leaving || old.Incarnation() != e.Incarnation() || old.Removed {
		d.log.Info("target", "target", e.ID, "address", e.Address, "service", e.Service, "availability_zone", e.AvailabilityZone,
			"leaving", e.Leaving, "born", e.Born, "weights", e.Weights)
	}
	d.targets[e.ID] = t
}

// newestWeights joins what was told of one life of a target: its versions only
// grow, and entries and reports are older than answers.
func newestWeights(known, told map[string]int) map[string]int {
	out := maps.Clone(known)
	if out == nil {
		out = map[string]int{}
	}
	for model, version := range told {
		out[model] = max(out[model], version)
	}
	return out
}

// noteWeights drops what was cached under other weights.
func (d *Directory) noteWeights(t *Target, before map[string]int) {
	if maps.Equal(t.Weights, before) {
		return
	}
	d.placer.DropCache(t.Address)
	t.OrderedUntil = time.Time{}
	d.log.Info("target weights", "target", t.ID, "weights", t.Weights, "before", before)
}

// Remove records that the entry of a target is gone.
func (d *Directory) Remove(id string) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[id]
	if t == nil || t.Removed {
		return
	}
	t.Removed = true
	if t.LeavingSince.IsZero() {
		t.LeavingSince = now
	}
	d.log.Info("target removed", "target", id, "service", t.Service, "in_flight", t.InFlight)
}

// Retain removes all targets that are not named.
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

// Prune forgets targets that are gone for long.
func (d *Directory) Prune() {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, t := range d.targets {
		if t.Removed && t.InFlight == 0 && now.Sub(t.LeavingSince) > keepRemoved {
			delete(d.targets, id)
		}
	}
}

// Service returns copies of the targets that may take a request of the service,
// in the order of their ids. Targets that leave are among them only while no
// other is left, and no longer than the grace.
func (d *Directory) Service(service string) []Target {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var staying, leaving []*Target
	for _, t := range d.targets {
		switch {
		case t.Service != service:
		case t.LeavingSince.IsZero():
			staying = append(staying, t)
		case now.Sub(t.LeavingSince) < d.grace:
			leaving = append(leaving, t)
		}
	}
	if len(staying) == 0 {
		staying = leaving
	}
	return copies(staying)
}

// copies returns the targets in the order of their ids. Pointers are sorted, because
// every request comes here and targets are large.
func copies(targets []*Target) []Target {
	slices.SortFunc(targets, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	out := make([]Target, len(targets))
	for i, t := range targets {
		out[i] = *t
	}
	return out
}

// All returns copies of all targets that stay.
func (d *Directory) All() []Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*Target, 0, len(d.targets))
	for _, t := range d.targets {
		if t.LeavingSince.IsZero() {
			out = append(out, t)
		}
	}
	return copies(out)
}

// serviceAt returns the service of the target at the address; empty: unknown.
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

// update changes a target that is still known.
func (d *Directory) update(id string, change func(t *Target)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.targets[id]; t != nil {
		change(t)
	}
}

// begin counts a request that is sent to the target.
func (d *Directory) begin(id string) {
	d.update(id, func(t *Target) { t.InFlight++ })
}

// end takes the request off; took is the time to the whole answer, 0 when there
// was none.
func (d *Directory) end(id string, took time.Duration, o outcome) {
	const gain = 0.1 // weight of a new sample in the running mean
	now := d.clock.Now()
	d.update(id, func(t *Target) {
		t.InFlight--
		if o != outcomeNone {
			t.Reliability = t.Reliability.Observe(now, o == outcomeBad)
		}
		if took > 0 {
			ms := float64(took) / float64(time.Millisecond)
			if t.ServiceMs == 0 {
				t.ServiceMs = ms
			}
			t.ServiceMs += gain * (ms - t.ServiceMs)
		}
	})
}

// outcome is what a request showed of the target that it ran on.
type outcome int

const (
	// outcomeNone: the target refused it, or the client left.
	outcomeNone outcome = iota
	outcomeGood
	outcomeBad
)

// heard records that the target sent bytes.
func (d *Directory) heard(id string) {
	now := d.clock.Now()
	d.update(id, func(t *Target) { t.Heard = now })
}

func (d *Directory) lastHeard(id string) (at time.Time) {
	d.update(id, func(t *Target) { at = t.Heard })
	return at
}

// learn takes what an answer's head tells of its target.
func (d *Directory) learn(id, model string, a port.Answer) {
	now := d.clock.Now()
	d.update(id, func(t *Target) {
		t.Heard = now
		if a.Load != nil {
			t.Load, t.ExplainedLoad = *a.Load, t.InFlight
			t.Load.MeasuredAt = now
		}
		if a.Weights > 0 && model != "" && t.Weights[model] < a.Weights {
			before := t.Weights
			t.Weights = newestWeights(before, map[string]int{model: a.Weights})
			d.noteWeights(t, before)
		}
	})
}

// SetOrdered records that an order keeps the target from starting requests.
func (d *Directory) SetOrdered(id string, until time.Time) {
	d.update(id, func(t *Target) { t.OrderedUntil = until })
}

// SetWeights records the versions that a target reported when it was asked.
func (d *Directory) SetWeights(id string, weights map[string]int) {
	d.update(id, func(t *Target) {
		before := t.Weights
		t.Weights = newestWeights(before, weights)
		d.noteWeights(t, before)
	})
}
