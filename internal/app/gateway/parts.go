package gateway

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// minSavedTokens is the size from which on shared parts are worth the way to
	// the store: shorter ones are read about as fast as they are fetched.
	minSavedTokens = 1024
	// moveFreshFor is the age of the last verification of the operator's stream up
	// to which no newer weights can have replaced the ones that parts belong to.
	moveFreshFor = 2 * time.Second
)

// moveParts decides whether the target first fetches parts of the prompt that
// others hold, and whether it saves what it read. Parts move only under the
// newest weights, and the target checks that it serves them: what is read while
// weights change must not be found by others.
func (x *exchange) moveParts(now time.Time, t Target) {
	x.fetchFrom, x.saveTo = "", ""
	version := t.Weights[x.r.Model]
	if x.engine.LinkMbps <= 0 || version == 0 || !x.newest(version) {
		return
	}
	shared := x.r.Prompt[:max(0, len(x.r.Prompt)-1)]
	scope := x.cacheScope(t)
	transfer := placement.FetchCosts{TokenBytes: x.engine.TokenBytes, LinkMbps: x.engine.LinkMbps,
		PrefillTokensPerSecond: x.g.prefillRate(x.service), Objective: x.route.Objective}
	sources := x.sources(now, t, scope, shared)
	for _, s := range sources {
		x.elsewhere = max(x.elsewhere, s.CachedTokens)
	}
	if source, ok := placement.BestFetch(transfer, x.placementTarget(t), x.score, x.r.PromptTokens, sources); ok {
		x.fetchFrom = source.Address
	}
	x.saveTo = x.storeFor(now, scope, shared)
	if x.fetchFrom != "" || x.saveTo != "" {
		x.expectWeights = version
	}
}

// newest reports whether the version is the one that was named last.
func (x *exchange) newest(version int) bool {
	if x.g.ConfigurationAge() > moveFreshFor {
		return false
	}
	if x.g.Wanted == nil {
		return true
	}
	wanted, _ := x.g.Wanted(x.r.Model)
	return version >= wanted
}

// sources lists the caches that hold a part of the prompt's shared beginning.
func (x *exchange) sources(now time.Time, t Target, scope string, shared []port.Segment) []placement.Source {
	var out []placement.Source
	add := func(address, zone string) {
		if tokens, known := x.g.Holdings.CachedTokens(now, address, scope, shared); known && tokens > 0 {
			out = append(out, placement.Source{Address: address, AvailabilityZone: zone,
				Region: x.g.settings().Regions[zone], CachedTokens: tokens})
		}
	}
	for _, other := range x.g.Directory.Service(x.service) {
		if other.ID != t.ID && other.Weights[x.r.Model] == t.Weights[x.r.Model] {
			add(other.Address, other.AvailabilityZone)
		}
	}
	for _, s := range x.config.Services {
		if s.Store != nil {
			add(s.Store.Address, s.Store.AvailabilityZone)
		}
	}
	return out
}

// storeFor returns the store that lacks the shared parts; empty: none does.
func (x *exchange) storeFor(now time.Time, scope string, shared []port.Segment) string {
	tokens := 0
	for _, p := range shared {
		tokens += p.Tokens
	}
	if tokens < minSavedTokens {
		return ""
	}
	for _, s := range x.config.Services {
		if s.Store == nil {
			continue
		}
		if _, known := x.g.Holdings.CachedTokens(now, s.Store.Address, scope, shared); !known {
			continue
		}
		if !x.g.Holdings.Holds(now, s.Store.Address, scope, shared) {
			x.g.Holdings.ExpectCached(now, s.Store.Address, scope, shared)
			return s.Store.Address
		}
	}
	return ""
}
