// Package cachewatch follows the KV cache events of all targets and stores and tracks for
// placement which prompt segments they hold.
package cachewatch

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/panics"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// readWait is how long a read waits for events. Reads that wait less than 200 ms
	// cost the target as much as a probe.
	readWait = 900 * time.Millisecond
	// readPause is the pause between two reads, which lets events accumulate and saves
	// reads.
	readPause = 150 * time.Millisecond
	// failurePause is the mean pause after a failed read.
	failurePause = time.Second
	// limitedPause is the mean pause after a read for which the cache had no place: other
	// routers read it, with a list of routers that differs from this one's.
	limitedPause = 5 * time.Second
	// listInterval is the time between two reads of the list of caches.
	listInterval = 500 * time.Millisecond
)

// Watcher follows the caches that List returns.
type Watcher struct {
	Caches        port.SegmentEventReader
	CacheContents *placement.CacheIndex
	Clock         port.Clock
	Logger        *slog.Logger
	// List returns the addresses of the caches to follow.
	List func() []string
}

// Run follows the caches until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	running := map[string]context.CancelFunc{}
	for {
		listed := map[string]bool{}
		for _, address := range w.List() {
			listed[address] = true
			if running[address] == nil {
				one, cancel := context.WithCancel(ctx)
				running[address] = cancel
				go func() {
					// It ends with the context only.
					_ = panics.Loop(w.Logger, "cache events of "+address, func(ctx context.Context) error {
						w.follow(ctx, address)
						return ctx.Err()
					})(one)
				}()
			}
		}
		for address, cancel := range running {
			if !listed[address] {
				cancel()
				delete(running, address)
				w.CacheContents.Remove(address)
			}
		}
		if err := ctxtime.Sleep(ctx, listInterval); err != nil {
			return err
		}
	}
}

func (w *Watcher) follow(ctx context.Context, address string) {
	lost := false
	for {
		next := readPause
		events, err := w.Caches.SegmentEvents(ctx, address, w.CacheContents.NextEvent(address), readWait)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if !lost {
				w.Logger.Info("cache events lost", "target", address, "error", err.Error())
			}
			lost = true
			pause := failurePause
			if limited := (*port.RateLimitedError)(nil); errors.As(err, &limited) {
				pause = limitedPause
			}
			next = time.Duration((0.5 + rand.Float64()) * float64(pause))
		default:
			if lost {
				w.Logger.Info("cache events regained", "target", address, "gap", events.Lost)
			}
			lost = false
			w.CacheContents.Observe(w.Clock.Now(), address, events)
		}
		if ctxtime.Sleep(ctx, next) != nil {
			return
		}
	}
}
