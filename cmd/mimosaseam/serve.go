package main

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/adapter/clientconn"
	"mimosaseam.example/mimosaseam/internal/adapter/peergrpc"
	"mimosaseam.example/mimosaseam/internal/adapter/telemetry"
	"mimosaseam.example/mimosaseam/internal/core/shutdown"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/panics"
	"mimosaseam.example/mimosaseam/internal/settings"
)

// ErrStopped ends the run group after a graceful shutdown.
var ErrStopped = eris.New("stopped by signal")

const (
	// leaveTimeout bounds the announcement of a planned stop to peers.
	leaveTimeout = 2 * time.Second
	// flushTimeout bounds writing the last outcomes to the log.
	flushTimeout = 10 * time.Second
	// closeTimeout bounds closing the servers and exporters after the drain.
	closeTimeout = 5 * time.Second
	// leavingInterval is the time between refreshes of the leaving targets, which
	// cover configuration changes that add a target already marked as leaving.
	leavingInterval = 500 * time.Millisecond
)

func serveCommand() command {
	var file string
	c := newCommand("serve", "Run a router.", func(io.Writer) error {
		if file == "" {
			return &UsageError{Message: "serve needs --settings FILE"}
		}
		s, err := settings.Load(file)
		if err != nil {
			return err
		}
		return serve(s)
	})
	c.String(&file, "s", "settings", "Settings file, JSON with comments.")
	return c
}

func serve(s settings.Settings) error {
	setMemoryLimit(float64(s.Resources.MemoryMB))
	logger := telemetry.Logger(os.Stderr, s.Telemetry, s.VM)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := notifyStop()
	n, err := newServeNode(ctx, s, logger)
	if err != nil {
		return err
	}
	var group run.Group
	if err := n.addServers(&group); err != nil {
		return err
	}
	n.addLoops(ctx, cancel, &group)
	addSignal(ctx, cancel, &group, signals, n.shutDown)
	logger.Info("starting", "version", version, "callers", s.Callers.Address, "admin", s.Admin.Address, "peers", s.Peers.Address)
	err = group.Run()
	closing, cancelClosing := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClosing()
	if closeErr := n.traces.Close(closing); closeErr != nil {
		logger.Warn("traces not exported", "error", closeErr)
	}
	if errors.Is(err, ErrStopped) {
		logger.Info("stopped")
		return nil
	}
	return err
}

func (n *serveNode) addServers(group *run.Group) error {
	s := n.settings
	callers, err := listenClients(s.Callers.Address, s.Callers.TLS)
	if err != nil {
		return err
	}
	callers = clientconn.Listen(callers, clientconn.Options{Budget: n.clients, Logger: n.log, Metrics: n.metrics})
	addHTTP(group, callers, n.callers.HTTPServer(s.Callers.Address))
	admin, err := listenClients(s.Admin.Address, s.Admin.TLS)
	if err != nil {
		return err
	}
	addHTTP(group, n.admin.listen(admin), n.admin.server)
	peers, err := net.Listen("tcp", s.Peers.Address)
	if err != nil {
		return &ListenError{Address: s.Peers.Address, Cause: err}
	}
	server := peergrpc.NewServer(n.fleet, n.peerCreds, n.log)
	group.Add(func() error { return server.Serve(peers) }, func(error) { server.Stop() })
	return nil
}

func addHTTP(group *run.Group, l net.Listener, server *http.Server) {
	group.Add(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}
		return ErrStopped
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			server.Close()
		}
	})
}

// addLoops adds the background loops, which run until the process stops.
func (n *serveNode) addLoops(ctx context.Context, cancel context.CancelFunc, group *run.Group) {
	loops := map[string]func(context.Context) error{
		"configuration": n.config.Run, "ledger": n.ledger.Follow, "orders": n.orders.Run, "observer": n.observer.Run,
		"fingerprints": n.logFingerprints, "summary": n.publishSummary, "leaving targets": n.watchLeaving, "fleet": n.joinThenRunFleet, "allotments": n.allotments.Run,
	}
	for i, f := range n.followers {
		loops["follower "+strconv.Itoa(i)] = f.Run
	}
	addLoops(ctx, cancel, group, n.log, loops)
}

// addLoops adds loops that run until the process stops. One that panics is restarted.
func addLoops(ctx context.Context, cancel context.CancelFunc, group *run.Group, log *slog.Logger, loops map[string]func(context.Context) error) {
	for name, loop := range loops {
		loop = panics.Loop(log, name, loop)
		group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
	}
}

// joinThenRunFleet restores state from a peer before the first exchange, so that
// a restarted router places requests as its peers do.
func (n *serveNode) joinThenRunFleet(ctx context.Context) error {
	n.join(ctx)
	return n.fleet.Run(ctx)
}

func (n *serveNode) watchLeaving(ctx context.Context) error {
	ticker := time.NewTicker(leavingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			n.refreshLeaving()
		}
	}
}

// notifyStop returns a channel of the signals that begin a planned stop. It must be called
// before the router listens: a signal that is not awaited kills the process.
func notifyStop() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// addSignal ends the group after a signal and a graceful shutdown.
func addSignal(ctx context.Context, cancel context.CancelFunc, group *run.Group, signals chan os.Signal, shutDown func(context.Context, os.Signal)) {
	group.Add(func() error {
		defer signal.Stop(signals)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case received := <-signals:
			shutDown(ctx, received)
			return ErrStopped
		}
	}, func(error) { cancel() })
}

// shutDown makes the router unready immediately, announces the stop to its peers,
// drains open requests, flushes outcomes to the log, and hands over the hot-prefix
// summary. Requests that are open after the drain timeout are answered with what is true
// of them.
func (n *serveNode) shutDown(ctx context.Context, received os.Signal) {
	unready := time.Duration(n.settings.Shutdown.UnreadyMs) * time.Millisecond
	final := unready + time.Duration(n.settings.Shutdown.DrainTimeoutS)*time.Second
	schedule := shutdown.NewSchedule(time.Now(), shutdown.Timing{Predicted: unready, Connections: unready, Arrivals: unready, FinalAnswers: final, End: final + finalAnswers})
	n.log.Info("stopping", "signal", received.String())
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	n.router.BeginStop(schedule)
	step := func(name string, timeout time.Duration, do func(context.Context) error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		if err := do(ctx); err != nil {
			n.log.Warn("shutdown step incomplete", "step", name, "error", err)
		}
	}
	step("leave", leaveTimeout, n.fleet.Leave)
	// The load balancer knows from the beginning on, however long the announcement takes.
	_ = ctxtime.Sleep(ctx, time.Until(schedule.ConnectionsUntil))
	n.router.BeginDrain()
	step("drain", time.Until(schedule.FinalAnswers), n.router.WaitDrained)
	n.router.EndRequests()
	step("final answers", time.Until(schedule.End), n.router.WaitDrained)
	step("flush", flushTimeout, n.ledger.Flush)
	step("handoff", leaveTimeout, n.fleet.Handoff)
}
