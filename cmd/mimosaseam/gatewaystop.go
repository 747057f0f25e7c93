package main

import (
	"context"
	"os"
	"time"

	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/settings"
)

// shutDown first turns unready for the load balancer and announces the stop to peers. Once
// no new connections are expected, it waits until the open requests have ended, those whose
// first byte has arrived included. Requests that begin to arrive later are refused: they might
// not end in time. The ones that remain shortly before the end are answered with what is true of them.
func (n *gatewayNode) shutDown(ctx context.Context, received os.Signal) {
	started := time.Now()
	end := started.Add(settings.Seconds(n.settings.Bounds.StopS) - exitMargin)
	n.gateway.BeginDrain()
	n.log.Info("stopping", "signal", received.String(), "open", n.gateway.OpenRequests())
	n.registry.Remove(ctx)
	if err := n.fleet.Leave(ctx); err != nil {
		n.log.Info("stop not announced to peers", "error", err.Error())
	}
	// The load balancer knows from the beginning on, however long the announcement takes.
	if err := ctxtime.Sleep(ctx, leaveDelay-time.Since(started)); err != nil {
		n.log.Warn("shutdown delay interrupted", "error", err.Error())
	}
	n.conns.StopAccepting()
	stopped := time.Now()
	n.log.Info("no new connections", "since_signal_ms", time.Since(started).Milliseconds(), "open", n.gateway.OpenRequests())
	n.awaitConnections(ctx, stopped.Add(lastRequests))
	n.gateway.StopAdmittingNew()
	n.awaitConnections(ctx, stopped.Add(newConnTimeout))
	n.gateway.StopAdmitting()
	n.awaitConnections(ctx, end.Add(-finalAnswers))
	if open := n.gateway.OpenRequests(); open > 0 {
		n.log.Warn("requests ended at the shutdown deadline", "since_signal_ms", time.Since(started).Milliseconds(), "open", open)
	}
	n.gateway.EndRequests()
	n.awaitConnections(ctx, end)
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
