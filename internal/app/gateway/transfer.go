package gateway

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
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
	shared := x.shared()
	scope, to := x.cacheScope(t), x.placementTarget(now, &t)
	costs := placement.FetchCosts{TokenBytes: x.engine.TokenBytes, LinkMbps: x.engine.LinkMbps,
		PrefillTokensPerSecond: x.prefillPerSecond, Objective: x.route.Objective}
	store := x.nearestStore(to)
	sources := x.sources(now, t, scope, shared, store)
	for _, s := range sources {
		x.cachedElsewhere = max(x.cachedElsewhere, s.CachedTokens)
	}
	if source, ok := placement.BestFetch(costs, to, x.score, x.r.PromptTokens, sources); ok {
		x.fetchFrom = source.Address
	}
	x.placementRequest.Fetched = x.fetchFrom != ""
	x.saveTo = x.saveAddress(now, scope, shared, store)
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

// sources lists the caches that hold a prefix of the shared segments, or are expected to.
func (x *exchange) sources(now time.Time, t Target, scope string, shared []port.Segment, nearest *gatewayconfig.KVStore) []placement.Source {
	var out []placement.Source
	add := func(address, zone string, presumed int) {
		tokens, known := x.g.CacheContents.CachedTokens(now, address, scope, shared)
		if !known && !x.g.CacheContents.IsFollowed(address) {
			tokens = presumed
		}
		if tokens > 0 {
			out = append(out, placement.Source{Address: address, AvailabilityZone: zone,
				Region: x.g.settings().Regions[zone], CachedTokens: tokens})
		}
	}
	sharedTokens := tokensOf(shared)
	expected := x.expectedElsewhere(t)
	var unusable map[string]retry.Reason
	if len(expected) > 0 {
		unusable = x.g.circuits.Unusable(now)
	}
	for _, other := range x.g.Directory.Service(x.service) {
		if other.ID == t.ID || other.Weights[x.r.Model] != t.Weights[x.r.Model] {
			continue
		}
		presumed := min(expected[other.Address], sharedTokens)
		if unusable[other.ID] == retry.ReasonOpen {
			presumed = 0 // a request waits some hundred milliseconds for a source that is down
		}
		add(other.Address, other.AvailabilityZone, presumed)
	}
	for _, s := range x.config.Services {
		if s.Store != nil {
			presumed := 0
			if s.Store == nearest {
				presumed = placement.PresumedTokens(sharedTokens)
			}
			add(s.Store.Address, s.Store.AvailabilityZone, presumed)
		}
	}
	return out
}

// expectedElsewhere returns the engines that are expected to have more of the prompt than the
// target, by address, from the traffic of this router and its share in that of all.
func (x *exchange) expectedElsewhere(t Target) map[string]int {
	var out map[string]int
	for _, s := range x.scores {
		if s.Target == t.Address || s.CachedTokens <= x.score.CachedTokens {
			continue
		}
		if out == nil {
			out = map[string]int{}
		}
		out[s.Target] = s.CachedTokens
	}
	return out
}

// nearestStore returns the store to which the target saves what it prefills, nil if there is
// none. Routers that do not read the events of the stores rely on this rule of all others.
func (x *exchange) nearestStore(to placement.Target) *gatewayconfig.KVStore {
	var nearest *gatewayconfig.KVStore
	least := 0
	for _, s := range x.config.Services {
		if s.Store == nil {
			continue
		}
		source := placement.Source{Region: x.g.settings().Regions[s.Store.AvailabilityZone], AvailabilityZone: s.Store.AvailabilityZone}
		distance := source.Distance(to)
		if nearest == nil || distance < least || distance == least && s.Store.Address < nearest.Address {
			nearest, least = s.Store, distance
		}
	}
	return nearest
}

// saveAddress returns the address of the store if it lacks the shared segments, empty if they
// need not be saved. Of a store whose events are not read, that is unknown: the segments are
// saved if the target is expected to prefill them.
func (x *exchange) saveAddress(now time.Time, scope string, shared []port.Segment, store *gatewayconfig.KVStore) string {
	tokens := tokensOf(shared)
	if store == nil || tokens < minSavedTokens {
		return ""
	}
	if x.g.CacheContents.IsFollowed(store.Address) {
		if _, known := x.g.CacheContents.CachedTokens(now, store.Address, scope, shared); !known ||
			x.g.CacheContents.Holds(now, store.Address, scope, shared) {
			return ""
		}
	} else if tokens-x.score.CachedTokens < minSavedTokens || x.g.CacheContents.Expects(now, store.Address, scope, shared) {
		return ""
	}
	x.g.CacheContents.ExpectCached(now, store.Address, scope, shared)
	return store.Address
}

func tokensOf(segments []port.Segment) int {
	tokens := 0
	for _, s := range segments {
		tokens += s.Tokens
	}
	return tokens
}
