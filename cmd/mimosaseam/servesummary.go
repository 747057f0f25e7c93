package main

import (
	"context"
	"time"

	"github.com/google/uuid"

	"mimosaseam.example/mimosaseam/internal/app/follow"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// summaryInterval is the time between hot-prefix summaries in the log, which the
	// holder of the orders lease writes.
	summaryInterval = 30 * time.Second
	// summaryMaxBytes bounds a summary in the log.
	summaryMaxBytes = 32 << 10
	// joinTimeout bounds the wait for a peer's summary at the start.
	joinTimeout = time.Second
	// summaryTimeout bounds reading the summary from the log at the start.
	summaryTimeout = 2 * time.Second
)

// join restores the hot prefixes from a peer, or from the log if no peer is
// reachable, so that a restarted router places requests as before.
func (n *serveNode) join(ctx context.Context) {
	defer close(n.joined)
	joining, cancel := context.WithTimeout(ctx, joinTimeout)
	err := n.fleet.Join(joining)
	cancel()
	if err == nil {
		return
	}
	n.log.Info("started without a peer, reading the hot-prefix summary from the log", "reason", err)
	reading, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	if err := n.restoreFromLog(reading); err != nil {
		n.log.Warn("started without a hot-prefix summary", "error", err)
	}
}

func (n *serveNode) restoreFromLog(ctx context.Context) error {
	oldest, next, err := follow.Bounds(ctx, n.platform.log, port.StreamSummary)
	if err != nil || next == oldest {
		return err
	}
	batch, err := n.platform.log.Read(ctx, port.StreamSummary, next-1, 1, 0)
	if err != nil || len(batch.Records) == 0 {
		return err
	}
	return n.placer.Restore(time.Now(), batch.Records[0].Data)
}

// publishSummary periodically writes the hot-prefix summary to the log while this
// router holds the orders lease. Concurrent writers during a change of holder are
// harmless.
func (n *serveNode) publishSummary(ctx context.Context) error {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !n.orders.Holding() {
			continue
		}
		summary := n.placer.Summary(time.Now(), summaryMaxBytes)
		if len(summary) == 0 {
			continue
		}
		record := port.Record{ID: uuid.NewString(), Data: summary}
		if _, err := n.platform.log.Append(ctx, port.StreamSummary, []port.Record{record}); err != nil {
			n.log.Warn("hot-prefix summary not written to the log", "error", err)
		}
	}
}
