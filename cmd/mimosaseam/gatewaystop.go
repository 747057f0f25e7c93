package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/settings"
)

// shutDown first turns unready for the load balancer and announces the stop to
// peers, then drains open requests.
func (n *gatewayNode) shutDown(ctx context.Context, received os.Signal) {
	n.gateway.BeginDrain()
	end := time.Now().Add(settings.Seconds(n.settings.Bounds.StopS) - exitMargin)
	n.log.Info("stopping", "signal", received.String(), "open", n.gateway.OpenRequests())
	n.registry.Remove(ctx)
	if err := n.fleet.Leave(ctx); err != nil {
		n.log.Info("stop not announced to peers", "error", err.Error())
	}
	if err := ctxtime.Sleep(ctx, leaveDelay); err != nil {
		n.log.Warn("shutdown delay interrupted", "error", err.Error())
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.Warn("requests aborted at the shutdown deadline", "open", n.gateway.OpenRequests(), "error", err.Error())
	}
}

// idleConns closes clients' connections that are idle beyond the limit of the
// configuration in force.
type idleConns struct {
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func (i *idleConns) onStateChange(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if state == http.StateIdle {
		i.timers[c] = time.AfterFunc(i.limit(), func() { i.close(c) })
	}
}

func (i *idleConns) close(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[c] != nil {
		delete(i.timers, c)
		// An error means that the client has already closed the connection.
		_ = c.Close()
	}
}
