package placement

import (
	"hash/maphash"
	"maps"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// expectedTTL is how long a part counts as cached after a request with it was
	// sent, unless an event of the target arrives earlier.
	expectedTTL = 1500 * time.Millisecond
	// cacheStateMaxAge is the time after the last read of its events from which the
	// state of a cache is ignored.
	cacheStateMaxAge = 4 * time.Second
	// maxCacheParts bounds the parts stored for one cache.
	maxCacheParts = 20_000
	// minSweep is the least number of expected parts that are swept.
	minSweep = 64
)

// partKey identifies a prompt part, which is a port.Segment, within a scope, by a hash: clients
// choose the names, which would be kept together with the heads of their requests. In this
// package, a segment is a node of the radix tree.
type partKey uint64

// partSeed keeps clients from choosing names of the same hash.
var partSeed = maphash.MakeSeed()

func partKeyOf(scope, part string) partKey {
	return partKey(maphash.Comparable(partSeed, [2]string{scope, part}))
}

// cacheState is the known content of one cache.
type cacheState struct {
	// epoch changes when the cache is restarted; next is the sequence number of the
	// next event to read.
	epoch  uint64
	next   uint64
	readAt time.Time
	// tokens holds the cached tokens of each part according to the events, expected
	// the time until which a recently sent part counts as cached.
	tokens   map[partKey]int
	expected map[partKey]time.Time
	// sweepAt is the number of expected parts at which those whose time has passed are removed.
	sweepAt int
}

// CacheIndex records which prompt parts targets and KV stores have cached, from
// their events and from the requests recently sent to them. It is safe for
// concurrent use.
type CacheIndex struct {
	mu     sync.Mutex
	caches map[string]*cacheState
}

// NewCacheIndex returns an empty index.
func NewCacheIndex() *CacheIndex { return &CacheIndex{caches: map[string]*cacheState{}} }

func (ix *CacheIndex) cache(address string) *cacheState {
	c := ix.caches[address]
	if c == nil {
		c = &cacheState{tokens: map[partKey]int{}, expected: map[partKey]time.Time{}}
		ix.caches[address] = c
	}
	return c
}

// NextEvent returns the sequence number of the next event to read.
func (ix *CacheIndex) NextEvent(address string) uint64 {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.cache(address).next
}

// Observe applies the events of a cache. A restart or lost events invalidate its
// previous state.
func (ix *CacheIndex) Observe(now time.Time, address string, e port.SegmentEvents) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	c := ix.cache(address)
	if c.epoch != e.Epoch || e.Lost || len(c.tokens) > maxCacheParts {
		clear(c.tokens)
		clear(c.expected)
	}
	c.epoch, c.next, c.readAt = e.Epoch, e.Next, now
	for _, event := range e.Events {
		key := partKeyOf(event.Scope, event.SegmentID)
		delete(c.expected, key)
		if event.Tokens <= 0 {
			delete(c.tokens, key)
		} else {
			c.tokens[key] = event.Tokens
		}
	}
}

// ExpectCached records that a request with the parts was sent to the cache.
func (ix *CacheIndex) ExpectCached(now time.Time, address, scope string, parts []port.Segment) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	c := ix.cache(address)
	if len(c.expected) >= c.sweepAt {
		maps.DeleteFunc(c.expected, func(_ partKey, until time.Time) bool { return !now.Before(until) })
		if len(c.expected) > maxCacheParts {
			clear(c.expected)
		}
		c.sweepAt = max(minSweep, 2*len(c.expected))
	}
	for _, p := range parts {
		c.expected[partKeyOf(scope, p.ID)] = now.Add(expectedTTL)
	}
}

// Remove deletes the state of a cache.
func (ix *CacheIndex) Remove(address string) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	delete(ix.caches, address)
}

// CachedTokens returns how many tokens of the prompt's beginning are cached; known
// is false if the cache's events were not read within cacheStateMaxAge.
func (ix *CacheIndex) CachedTokens(now time.Time, address, scope string, parts []port.Segment) (tokens int, known bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	c := ix.caches[address]
	if c == nil || now.Sub(c.readAt) > cacheStateMaxAge {
		return 0, false
	}
	for _, p := range parts {
		key := partKeyOf(scope, p.ID)
		n := min(c.tokens[key], p.Tokens)
		if now.Before(c.expected[key]) {
			n = p.Tokens
		}
		tokens += n
		if n < p.Tokens {
			break
		}
	}
	return tokens, true
}

// IsFollowed reports whether the events of a cache have been read since it was last removed.
func (ix *CacheIndex) IsFollowed(address string) bool {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	c := ix.caches[address]
	return c != nil && !c.readAt.IsZero()
}

// Expects reports whether a request with all of the parts was recently sent to the cache.
func (ix *CacheIndex) Expects(now time.Time, address, scope string, parts []port.Segment) bool {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	c := ix.caches[address]
	if c == nil {
		return false
	}
	for _, p := range parts {
		if !now.Before(c.expected[partKeyOf(scope, p.ID)]) {
			return false
		}
	}
	return true
}

// Holds reports whether all of the parts are cached.
func (ix *CacheIndex) Holds(now time.Time, address, scope string, parts []port.Segment) bool {
	total := 0
	for _, p := range parts {
		total += p.Tokens
	}
	tokens, known := ix.CachedTokens(now, address, scope, parts)
	return known && tokens >= total
}
