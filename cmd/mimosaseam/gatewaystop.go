package main

import (
	"context"
	"os"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/shutdown"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/settings"
)

// stopTiming returns the steps of a planned stop that may take so long.
func stopTiming(limit time.Duration) shutdown.Timing {
	end := limit - exitMargin
	return shutdown.Timing{Predicted: failedChecks, Connections: leaveDelay, Arrivals: leaveDelay + lastRequests, FinalAnswers: end - finalAnswers, End: end}
}

// shutDown first turns unready for the load balancer and announces the stop to peers. Once
// no new connections are expected, it waits until the open requests have ended, those whose
// first byte has arrived included. The schedule of the stop says which requests still begin;
// the ones that remain shortly before its end are answered with what is true of them.
func (n *gatewayNode) shutDown(ctx context.Context, received os.Signal) {
	started := time.Now()
	schedule := shutdown.NewSchedule(started, stopTiming(settings.Seconds(n.settings.Bounds.StopS)))
	n.gateway.BeginStop(schedule)
	n.log.Info("stopping", "signal", received.String(), "open", n.gateway.OpenRequests())
	n.registry.Remove(ctx)
	if err := n.fleet.Leave(ctx); err != nil {
		n.log.Info("stop not announced to peers", "error", err.Error())
	}
	// The load balancer knows from the beginning on, however long the announcement takes.
	if err := ctxtime.Sleep(ctx, time.Until(schedule.ConnectionsUntil)); err != nil {
		n.log.Warn("shutdown delay interrupted", "error", err.Error())
	}
	n.conns.StopAccepting()
	n.log.Info("no new connections", "since_signal_ms", time.Since(started).Milliseconds(), "open", n.gateway.OpenRequests())
	n.awaitConnections(ctx, schedule.FinalAnswers)
	if open := n.gateway.OpenRequests(); open > 0 {
		n.log.Warn("requests ended at the shutdown deadline", "since_signal_ms", time.Since(started).Milliseconds(), "open", open)
	}
	n.gateway.EndRequests()
	n.awaitConnections(ctx, schedule.End)
	// What is still open now is aborted.
	_ = n.callers.Close()
}

// awaitConnections closes the idle connections of callers until none is left.
func (n *gatewayNode) awaitConnections(ctx context.Context, end time.Time) {
	for n.conns.CloseIdle(time.Now().Add(-newConnTimeout)) > 0 && time.Now().Before(end) {
		if err := ctxtime.Sleep(ctx, drainPollInterval); err != nil {
			return
		}
	}
}
