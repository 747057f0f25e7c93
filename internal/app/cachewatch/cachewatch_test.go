package cachewatch

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

// fakeCache is a cache that may be down.
type fakeCache struct {
	mu     sync.Mutex
	events []port.SegmentEvent
	down   bool
	reads  int
}

func (c *fakeCache) SegmentEvents(ctx context.Context, _ string, since uint64, wait time.Duration) (port.SegmentEvents, error) {
	c.mu.Lock()
	c.reads++
	down := c.down
	out := port.SegmentEvents{Epoch: 1, Next: uint64(len(c.events)), Events: append([]port.SegmentEvent(nil), c.events[since:]...)}
	c.mu.Unlock()
	if down {
		return port.SegmentEvents{}, &port.UnknownOutcomeError{Peer: "cache"}
	}
	if len(out.Events) == 0 {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return out, nil
}

// Guards against contents that stay known after their cache is lost, and reads without a
// pause.
func TestCachesAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &fakeCache{events: []port.SegmentEvent{{Scope: "s", SegmentID: "a", Tokens: 100}}}
		index := placement.NewCacheIndex()
		var mu sync.Mutex
		listed := []string{"x"}
		w := &Watcher{Caches: c, CacheContents: index, Clock: port.SystemClock{}, Logger: slog.New(slog.DiscardHandler),
			List: func() []string { mu.Lock(); defer mu.Unlock(); return listed }}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = w.Run(ctx) }()
		prompt := []port.Segment{{ID: "a", Tokens: 100}}
		time.Sleep(2 * time.Second)
		is.True(index.Holds(time.Now(), "x", "s", prompt))
		c.mu.Lock()
		c.down = true
		reads := c.reads
		c.mu.Unlock()
		time.Sleep(10 * time.Second)
		_, known := index.CachedTokens(time.Now(), "x", "s", prompt)
		is.True(!known)
		c.mu.Lock()
		c.down = false
		is.True(c.reads-reads <= 25) // at most two per second while it fails
		c.mu.Unlock()
		time.Sleep(3 * time.Second)
		is.True(index.Holds(time.Now(), "x", "s", prompt))
		mu.Lock()
		listed = nil
		mu.Unlock()
		time.Sleep(time.Second)
		_, known = index.CachedTokens(time.Now(), "x", "s", prompt)
		is.True(!known)
		cancel()
		synctest.Wait()
	})
}
