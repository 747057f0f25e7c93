package fleet

import (
	"context"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/panics"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// exchangeTimeout leaves time before the next exchange is due.
	exchangeTimeout = 900 * time.Millisecond
	// urgentGap is the minimum time between two urgent messages to the same
	// neighbours; updates that arrive meanwhile are batched.
	urgentGap = 200 * time.Millisecond
	// maxUrgentCalls bounds the urgent messages in flight. Beyond it, updates
	// are left to the regular exchanges.
	maxUrgentCalls = 4 * membership.MaxNeighbours
	// listRetry is the mean delay before a failed poll is retried.
	listRetry = 5 * time.Second
)

// Run polls the VM list, merges snapshots of peers, exchanges with neighbours and forwards urgent updates
// until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	for what, loop := range map[string]func(context.Context){"list loop": f.listLoop, "urgent loop": f.urgentLoop, "exchange loop": f.exchangeLoop,
		"snapshot loop": f.snapshotLoop} {
		loops.Go(func() {
			// No loop returns an error of its own.
			_ = panics.Loop(f.o.Logger, what, func(ctx context.Context) error {
				loop(ctx)
				return ctx.Err()
			})(ctx)
		})
	}
	loops.Wait()
	return ctx.Err()
}

func (f *Fleet) exchangeLoop(ctx context.Context) {
	// A random initial delay spreads the exchanges of routers that start together.
	if ctxtime.Sleep(ctx, f.random(membership.ExchangeInterval)) != nil {
		return
	}
	ticker := time.NewTicker(membership.ExchangeInterval)
	defer ticker.Stop()
	for {
		f.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// round expires old state, exchanges with one router and notifies OnRouters.
func (f *Fleet) round(ctx context.Context) {
	f.mu.Lock()
	now := f.o.Clock.Now()
	f.view.Tick(now)
	old := f.expireReports(now)
	to, ok := f.view.NextPeer(now)
	f.mu.Unlock()
	for _, peer := range old {
		f.notifyInFlight(peer, nil)
	}
	if ok {
		f.exchange(ctx, to)
	}
	f.notifyRouters()
}

func (f *Fleet) exchange(ctx context.Context, to membership.Peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := f.o.Peer.Exchange(ctx, to.Address, f.compose(to.Name, nil))
	f.mu.Lock()
	now := f.o.Clock.Now()
	f.stats.Exchanges++
	if err != nil {
		f.stats.FailedExchanges++
		f.view.RecordFailure(now, to)
		f.recordFailure(now, to)
		f.mu.Unlock()
		return
	}
	f.view.RecordResponse(now, to, response.From)
	f.recordContact(now, to.Name)
	f.merge(now, response)
	f.mu.Unlock()
	f.notifyCallbacks(response)
}

// merge applies a received message to the view and the reports. f.mu must be
// held.
func (f *Fleet) merge(now time.Time, e port.PeerExchange) {
	f.view.Merge(now, e.Gossip)
	if e.Urgent || e.From.Name == f.o.Self.Name {
		return
	}
	demand := make(map[string]float64, len(e.Demand))
	for _, d := range e.Demand {
		demand[d.ClientAccount] = d.Demand
	}
	f.reports[e.From.Name] = report{at: now, configOffset: e.ConfigOffset, demand: demand}
}

// notifyCallbacks passes the values of a received message to the callbacks and
// wakes the urgent loop if needed. f.mu must not be held.
func (f *Fleet) notifyCallbacks(e port.PeerExchange) {
	f.mu.Lock()
	urgent := f.view.HasUrgent()
	f.mu.Unlock()
	if urgent {
		f.wakeUrgent()
	}
	if e.Urgent || e.From.Name == f.o.Self.Name {
		return
	}
	counts := make(map[string]int, len(e.InFlight))
	for _, c := range e.InFlight {
		counts[c.Target] = c.Count
	}
	f.notifyInFlight(e.From.Name, counts)
	if on := f.o.Callbacks.OnSummary; on != nil && len(e.Summary) > 0 {
		on(e.From.Name, e.Summary)
	}
	if on := f.o.Callbacks.OnConfigOffset; on != nil && e.ConfigOffset > 0 {
		on(e.From.Name, e.ConfigOffset)
	}
}

func (f *Fleet) notifyInFlight(peer string, counts map[string]int) {
	if on := f.o.Callbacks.OnPeerInFlight; on != nil {
		on(peer, counts)
	}
}

// notifyRouters calls OnRouters if the routers changed since the last call.
func (f *Fleet) notifyRouters() {
	f.mu.Lock()
	now := f.o.Clock.Now()
	state := notifiedState{version: f.view.Version(), isolated: f.view.Isolated(now)}
	changed := state != f.notified
	f.notified = state
	f.mu.Unlock()
	if on := f.o.Callbacks.OnRouters; on != nil && changed {
		on(f.Routers())
	}
}

// expireReports drops expired reports and returns their peers. f.mu must be
// held.
func (f *Fleet) expireReports(now time.Time) []string {
	var old []string
	for peer, r := range f.reports {
		if now.Sub(r.at) > reportTTL {
			delete(f.reports, peer)
			old = append(old, peer)
		}
	}
	return old
}

func (f *Fleet) urgentLoop(ctx context.Context) {
	slots := make(chan struct{}, maxUrgentCalls)
	for {
		select {
		case <-f.urgent:
		case <-ctx.Done():
			return
		}
		for f.flush(ctx, slots) {
			if ctxtime.Sleep(ctx, urgentGap) != nil {
				return
			}
		}
	}
}

// flush sends new marks and fingerprints to all neighbours without waiting for
// the responses. It reports whether there were any.
func (f *Fleet) flush(ctx context.Context, slots chan struct{}) bool {
	f.mu.Lock()
	now := f.o.Clock.Now()
	g, ok := f.view.TakeUrgent(now)
	neighbours := f.view.Neighbours()
	self := f.view.Self()
	f.mu.Unlock()
	if !ok {
		return false
	}
	f.notifyGossip(g)
	from := port.Member{Name: self.Name, Incarnation: self.Incarnation, State: self.State}
	message := port.PeerExchange{From: from, Urgent: true, Gossip: g}
	for _, to := range neighbours {
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		go func() {
			defer func() { <-slots }()
			defer panics.Catch(f.o.Logger, "urgent message", "peer", to.Name)
			f.sendUrgent(ctx, to, message)
		}()
	}
	return true
}

func (f *Fleet) sendUrgent(ctx context.Context, to membership.Peer, message port.PeerExchange) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := f.o.Peer.Exchange(ctx, to.Address, message)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.UrgentMessages++
	if err != nil {
		return false
	}
	f.view.RecordResponse(f.o.Clock.Now(), to, response.From)
	return true
}

func (f *Fleet) notifyGossip(g port.Gossip) {
	if on := f.o.Callbacks.OnTargets; on != nil && len(g.Targets) > 0 {
		on(g.Targets)
	}
	if on := f.o.Callbacks.OnFingerprints; on != nil && len(g.Fingerprints) > 0 {
		on(g.Fingerprints)
	}
}

// startInterval is the mean time between the first two polls of the VM list.
const startInterval = time.Second

func (f *Fleet) listLoop(ctx context.Context) {
	for first := true; ; {
		wait := listRetry
		if f.poll(ctx) == nil {
			wait = f.pollInterval()
			if first {
				// Routers that start together are not on each other's first list.
				wait, first = min(wait, startInterval), false
			}
		}
		if ctxtime.Sleep(ctx, wait/2+f.random(wait)) != nil {
			return
		}
	}
}

// pollInterval returns the configured interval while the list is short, so that
// a leaving target is detected quickly, and a longer one for long lists.
func (f *Fleet) pollInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	interval := max(f.o.ListInterval, time.Duration(f.view.Len()+1)*f.o.ListIntervalPerRouter)
	if f.listBytes <= shortListBytes {
		return interval
	}
	bySize := time.Duration(f.listBytes) * time.Second / listBytesPerSecond
	byFleet := time.Duration(f.view.Len()+1) * maxListIntervalPerRouter
	return max(interval, min(bySize, byFleet))
}

func listSize(vms []port.VM) int {
	size := 0
	for _, vm := range vms {
		size += vmBytes + len(vm.Name) + len(vm.Role) + len(vm.Address) + len(vm.Region) + len(vm.AvailabilityZone) + len(vm.State)
	}
	return size
}

func (f *Fleet) poll(ctx context.Context) error {
	list, err := f.o.VMList.List(ctx)
	f.mu.Lock()
	f.stats.ListPolls++
	changed := f.listFailing != (err != nil)
	f.listFailing = err != nil
	if err != nil {
		f.stats.FailedListPolls++
	} else {
		f.view.ApplyVMList(f.o.Clock.Now(), list)
		f.listBytes = listSize(list.VMs)
	}
	urgent := f.view.HasUrgent()
	f.mu.Unlock()
	if urgent {
		f.wakeUrgent()
	}
	switch {
	case changed && err != nil:
		f.o.Logger.WarnContext(ctx, "cannot read the VM list, using the routers already known", "error", err)
	case changed:
		f.o.Logger.InfoContext(ctx, "VM list readable again")
	}
	return err
}

// random returns a duration in [0, d).
func (f *Fleet) random(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.o.Rand.Int64N(int64(d)))
}
