package main

import (
	"slices"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/app/weights"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/platform"
)

func (n *gatewayNode) applyOperator(r port.KeyedRecord) {
	if r.Value == nil {
		return
	}
	if platform.IsConfiguration(r.Key) {
		c, err := platform.DecodeConfiguration(r.Value)
		if err != nil {
			n.log.Error("configuration not decoded", "error", err.Error())
			return
		}
		n.gateway.SetConfiguration(c)
		return
	}
	model, version, ok, err := platform.DecodeWeights(r.Key, r.Value)
	if err != nil {
		n.log.Error("weights version not decoded", "key", r.Key, "error", err.Error())
	} else if ok {
		n.weights.SetDesired(model, version)
	}
}

func (n *gatewayNode) applyTarget(r port.KeyedRecord) {
	if r.Value == nil {
		n.dir.Remove(r.Key)
		return
	}
	entry, err := platform.DecodeTarget(r.Key, r.Value)
	if err != nil {
		n.log.Info("target entry not decoded", "key", r.Key, "error", err.Error())
		n.dir.Remove(r.Key)
		return
	}
	n.dir.Put(entry)
}

// engines lists the targets that serve models.
func (n *gatewayNode) engines() []weights.Target {
	var out []weights.Target
	for _, t := range n.dir.All() {
		for model, version := range t.Weights {
			out = append(out, weights.Target{ID: t.ID, Address: t.Address, Incarnation: t.Incarnation(), Model: model,
				Version: version, InFlight: t.InFlight})
		}
	}
	return out
}

// cacheAddresses lists the engines and stores whose cache events this router reads.
func (n *gatewayNode) cacheAddresses() []string {
	c := n.gateway.Configuration()
	if c == nil {
		return nil
	}
	routers := n.readers.settled(n.clock.Now())
	var out []string
	add := func(address string, readers int) {
		if (routers != nil || readers <= 0) && placement.IsChosen(n.settings.VM.Name, routers, address, readers) {
			out = append(out, address)
		}
	}
	for _, t := range n.dir.All() {
		if s := c.Services[t.Service]; s != nil && s.Engine != nil {
			add(t.Address, s.Engine.MaxEventReaders)
		}
	}
	for _, s := range c.Services {
		if s.Store != nil {
			add(s.Store.Address, s.Store.MaxEventReaders)
		}
	}
	return out
}

const (
	// settleTime is how long the list of routers must be unchanged before the readers of
	// cache events are chosen from it. While routers start together, each knows another
	// part of them, and all together would ask each cache.
	settleTime = 2 * time.Second
	// maxSettleTime bounds the use of an older list while routers come and go.
	maxSettleTime = 10 * time.Second
)

// routerList is the list of routers from which the readers of cache events are chosen.
type routerList struct {
	mu      sync.Mutex
	newest  []string
	changed time.Time
	// used is the last settled list, nil before the first.
	used   []string
	usedAt time.Time
}

// set stores the newest list.
func (l *routerList) set(now time.Time, names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(l.newest, names) {
		l.newest, l.changed = names, now
	}
}

// settled returns the list to choose from, nil if none has settled yet.
func (l *routerList) settled(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.changed) >= settleTime || l.used != nil && now.Sub(l.usedAt) >= maxSettleTime {
		l.used, l.usedAt = l.newest, now
	}
	return l.used
}

// assumedRouters is the assumed number of routers until others are discovered, so
// that the bounds they share hold while all start at the same time.
const assumedRouters = 16

// routerCount is the number of routers that share the bounds.
func (n *gatewayNode) routerCount() int {
	if names := n.routers.Load(); names != nil {
		return len(*names)
	}
	return assumedRouters
}

func (n *gatewayNode) routerNames() []string {
	if names := n.routers.Load(); names != nil {
		return *names
	}
	return []string{n.settings.VM.Name}
}
