package gateway

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// minSavedTokens is the smallest shared prefix that is saved to a store: the prefill
	// of a shorter one takes about as long as fetching it.
	minSavedTokens = 1024
	// maxTransferConfigAge is the age of the last verification of the operator's stream
	// up to which segments are transferred: in this time, no newer weights can have
	// replaced those with which the segments were computed.
	maxTransferConfigAge = 2 * time.Second
)

// planTransfers decides whether the target first fetches prompt segments from another
// cache, and whether it saves its own to a store. Segments are transferred only under the
// newest weights, and the target checks that it serves them: what is computed while
// weights change must not be available to others.
func (x *exchange) planTransfers(now time.Time, t Target) {
	x.fetchFrom, x.saveTo, x.placementRequest.Fetched = "", "", false
	version := t.Weights[x.r.Model]
	if x.engine.LinkMbps <= 0 || version == 0 || !x.isNewest(version) {
		return
	}
	shared := x.r.Prompt[:max(0, len(x.r.Prompt)-1)]
	scope := x.cacheScope(t)
	costs := placement.FetchCosts{TokenBytes: x.engine.TokenBytes, LinkMbps: x.engine.LinkMbps,
		PrefillTokensPerSecond: x.prefillPerSecond, Objective: x.route.Objective}
	sources := x.sources(now, t, scope, shared)
	for _, s := range sources {
		x.cachedElsewhere = max(x.cachedElsewhere, s.CachedTokens)
	}
	if source, ok := placement.BestFetch(costs, x.placementTarget(now, &t), x.score, x.r.PromptTokens, sources); ok {
		x.fetchFrom = source.Address
	}
	x.placementRequest.Fetched = x.fetchFrom != ""
	x.saveTo = x.storeFor(now, scope, shared)
	if x.fetchFrom != "" || x.saveTo != "" {
		x.expectWeights = version
	}
}

// isNewest reports whether the version is at least the one announced last.
func (x *exchange) isNewest(version int) bool {
	if x.g.ConfigurationAge() > maxTransferConfigAge {
		return false
	}
	if x.g.DesiredVersion == nil {
		return true
	}
	desired, _ := x.g.DesiredVersion(x.r.Model)
	return version >= desired
}

// sources lists the caches that hold a prefix of the shared segments.
func (x *exchange) sources(now time.Time, t Target, scope string, shared []port.Segment) []placement.Source {
	var out []placement.Source
	add := func(address, zone string) {
		if tokens, known := x.g.CacheContents.CachedTokens(now, address, scope, shared); known && tokens > 0 {
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

// storeFor returns a store that lacks the shared segments, empty if there is none.
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
		if _, known := x.g.CacheContents.CachedTokens(now, s.Store.Address, scope, shared); !known {
			continue
		}
		if !x.g.CacheContents.Holds(now, s.Store.Address, scope, shared) {
			x.g.CacheContents.ExpectCached(now, s.Store.Address, scope, shared)
			return s.Store.Address
		}
	}
	return ""
}
