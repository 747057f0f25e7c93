// Package cachewatch follows the cache events of all targets and stores, so that
// placement knows which prompt parts they hold.
package cachewatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// wait is how long a read waits for events. Reads that wait less than 200 ms
	// cost the target as much as a probe.
	wait = 900 * time.Millisecond
	// pause between two reads lets events gather, which saves reads.
	pause = 150 * time.Millisecond
	// failurePause is the mean pause after a failed read.
	failurePause = time.Second
	// listTick is the time between two looks at the list of caches.
	listTick = 500 * time.Millisecond
)

// Watch follows the caches that List names.
type Watch struct {
	Caches   port.PartCaches
	Holdings *placement.CacheIndex
	Clock    port.Clock
	Logger   *slog.Logger
	// List returns the addresses of the caches to follow.
	List func() []string
}

// Run follows until the context ends.
func (w *Watch) Run(ctx context.Context) error {
	running := map[string]context.CancelFunc{}
	for {
		listed := map[string]bool{}
		for _, address := range w.List() {
			listed[address] = true
			if running[address] == nil {
				one, cancel := context.WithCancel(ctx)
				running[address] = cancel
				go w.follow(one, address)
			}
		}
		for address, cancel := range running {
			if !listed[address] {
				cancel()
				delete(running, address)
				w.Holdings.Remove(address)
			}
		}
		if err := ctxtime.Sleep(ctx, listTick); err != nil {
			return err
		}
	}
}

func (w *Watch) follow(ctx context.Context, address string) {
	lost := false
	for {
		next := pause
		events, err := w.Caches.PartEvents(ctx, address, w.Holdings.NextEvent(address), wait)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if !lost {
				w.Logger.Info("cache events lost", "target", address, "error", err.Error())
			}
			lost = true
			next = time.Duration((0.5 + rand.Float64()) * float64(failurePause))
		default:
			if lost {
				w.Logger.Info("cache events regained", "target", address, "gap", events.Lost)
			}
			lost = false
			w.Holdings.Observe(w.Clock.Now(), address, events)
		}
		if ctxtime.Sleep(ctx, next) != nil {
			return
		}
	}
}
