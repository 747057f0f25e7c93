package placement

import (
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// expectedFor is how long a part counts as held after a request with it was
	// sent, until the target's own event tells.
	expectedFor = 1500 * time.Millisecond
	// holdingsFreshFor is the age after which a cache that cannot be read says
	// nothing.
	holdingsFreshFor = 4 * time.Second
	// maxHeldParts bounds the parts kept for one cache.
	maxHeldParts = 20_000
)

// partKey names a part within a scope.
type partKey struct{ scope, part string }

// held is what one cache holds.
type held struct {
	epoch    uint64
	next     uint64
	readAt   time.Time
	tokens   map[partKey]int
	expected map[partKey]time.Time
}

// Holdings knows which prompt parts targets and stores hold, from their events
// and from what was just sent to them. It is safe for concurrent use.
type Holdings struct {
	mu     sync.Mutex
	caches map[string]*held
}

// NewHoldings returns holdings that know nothing.
func NewHoldings() *Holdings { return &Holdings{caches: map[string]*held{}} }

func (h *Holdings) cache(address string) *held {
	c := h.caches[address]
	if c == nil {
		c = &held{tokens: map[partKey]int{}, expected: map[partKey]time.Time{}}
		h.caches[address] = c
	}
	return c
}

// Next returns the number of the event to read next.
func (h *Holdings) Next(address string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cache(address).next
}

// Observe takes the events of a cache. A restart or lost events void what was
// known before.
func (h *Holdings) Observe(now time.Time, address string, e port.SegmentEvents) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.cache(address)
	if c.epoch != e.Epoch || e.Lost || len(c.tokens) > maxHeldParts {
		clear(c.tokens)
		clear(c.expected)
	}
	c.epoch, c.next, c.readAt = e.Epoch, e.Next, now
	for _, event := range e.Events {
		key := partKey{event.Scope, event.SegmentID}
		delete(c.expected, key)
		if event.Tokens <= 0 {
			delete(c.tokens, key)
		} else {
			c.tokens[key] = event.Tokens
		}
	}
}

// Expect records that a request with the parts was sent to the cache.
func (h *Holdings) Expect(now time.Time, address, scope string, parts []port.Segment) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.cache(address)
	if len(c.expected) > maxHeldParts {
		clear(c.expected)
	}
	for _, p := range parts {
		c.expected[partKey{scope, p.ID}] = now.Add(expectedFor)
	}
}

// Forget drops what is known of a cache.
func (h *Holdings) Forget(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.caches, address)
}

// Cached returns the tokens of the prompt's beginning that the cache holds;
// known is false when it was not read lately.
func (h *Holdings) Cached(now time.Time, address, scope string, parts []port.Segment) (tokens int, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.caches[address]
	if c == nil || now.Sub(c.readAt) > holdingsFreshFor {
		return 0, false
	}
	for _, p := range parts {
		key := partKey{scope, p.ID}
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

// Holds reports whether the cache holds all of the parts.
func (h *Holdings) Holds(now time.Time, address, scope string, parts []port.Segment) bool {
	want := 0
	for _, p := range parts {
		want += p.Tokens
	}
	tokens, known := h.Cached(now, address, scope, parts)
	return known && tokens >= want
}
