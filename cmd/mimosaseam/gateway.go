package main

import (
	"context"
	"errors"
	"expvar"
	"google.golang.org/grpc"
	"io"
	"log/slog"
	"mimosaseam.example/mimosaseam/internal/app/fleet"
	"mimosaseam.example/mimosaseam/internal/app/registry"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"mimosaseam.example/mimosaseam/internal/adapter/httpconn"
	"mimosaseam.example/mimosaseam/internal/adapter/telemetry"
	"mimosaseam.example/mimosaseam/internal/app/cachewatch"
	"mimosaseam.example/mimosaseam/internal/app/gateway"
	"mimosaseam.example/mimosaseam/internal/app/sitesync"
	"mimosaseam.example/mimosaseam/internal/app/weights"
	"mimosaseam.example/mimosaseam/internal/bootclock"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/settings"
	"mimosaseam.example/mimosaseam/platform"
)

const (
	settingsVariable = "MIMOSASEAM_NODE_FILE"

	// memoryShare is the part of the process's memory that the heap may take; the
	// rest is for stacks, the runtime and what the kernel holds for connections.
	memoryShare = 0.65
	// connectTimeout bounds a new connection; the first packet is sent again after
	// a second, which is too late for most requests.
	connectTimeout = 600 * time.Millisecond
	// unacknowledged is how long sent bytes may stay unacknowledged before the
	// connection counts as dead.
	unacknowledged = 2 * time.Second
	// idleToTarget is how long an unused connection to a target is kept.
	idleToTarget = 20 * time.Second
	// idleBeforeConfiguration holds for clients' connections until the
	// configuration names a limit.
	idleBeforeConfiguration = 60 * time.Second
	headerTimeout           = 10 * time.Second
	// keyMargin covers the difference between clocks that run at different speeds.
	keyMargin = 100 * time.Millisecond
	// leaveWait is how long a stopping router takes new connections: the entry
	// asks once a second and stops after two refusals.
	leaveWait = 2500 * time.Millisecond
	// endMargin is the part of the time to stop that is kept for the end itself.
	endMargin    = 700 * time.Millisecond
	settingsPoll = 2 * time.Second
	pruneTick    = 10 * time.Second
)

func gatewayCommand() command {
	var file string
	c := newCommand("gateway", "Run a router that passes requests on unchanged, on the users' platform.", func(io.Writer) error {
		if file == "" {
			file = os.Getenv(settingsVariable)
		}
		if file == "" {
			return &UsageError{Message: "gateway needs --settings FILE or " + settingsVariable}
		}
		s, err := settings.LoadGateway(file)
		if err != nil {
			return err
		}
		return serveGateway(file, s)
	})
	c.String(&file, "s", "settings", "Settings file, JSON with comments; "+settingsVariable+" by default.")
	return c
}

// entryNode is a router that passes requests on.
type entryNode struct {
	file     string
	settings settings.Gateway
	log      *slog.Logger
	level    *slog.LevelVar
	gateway  *gateway.Gateway
	dir      *gateway.Directory
	weights  *weights.Manager
	streams  []*sitesync.Stream
	operator *sitesync.Stream
	fleet    *fleet.Fleet
	registry *registry.Registry
	peers    *grpc.Server
	// routers holds the names of the routers that may be serving, this one included.
	routers atomic.Pointer[[]string]
	caches  *cachewatch.Watch
	callers *http.Server
	ready   *http.Server
	metrics *http.Server
}

func serveGateway(file string, s settings.Gateway) error {
	debug.SetMemoryLimit(int64(memoryShare * s.Limits.MemoryMB * (1 << 20)))
	out := telemetry.NewBoundedWriter(os.Stdout)
	defer out.Close()
	n := newEntryNode(file, s, out, telemetry.NewMetrics("gateway", "gateway_ms"))
	n.log.Info("starting", "version", version, "callers", s.Callers.Address, "ready", s.Ready.Address, "log", s.Log.Address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	for _, l := range []struct {
		address string
		server  *http.Server
	}{{s.Callers.Address, n.callers}, {s.Ready.Address, n.ready}, {s.Metrics.Address, n.metrics}} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		addHTTP(&group, listener, l.server)
	}
	peers, err := net.Listen("tcp", s.Peers.Address)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	group.Add(func() error { return n.peers.Serve(peers) }, func(error) { n.peers.Stop() })
	loops := []func(context.Context) error{n.weights.Run, n.caches.Run, n.watchSettings, n.prune, n.registry.Run, n.fleet.Run}
	for _, s := range n.streams {
		loops = append(loops, s.Run)
	}
	for _, loop := range loops {
		group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
	}
	n.addStop(ctx, cancel, &group)
	err = group.Run()
	n.log.Info("stopped", "reason", err.Error())
	if errors.Is(err, ErrStopped) {
		return nil
	}
	return err
}

func newEntryNode(file string, s settings.Gateway, out io.Writer, metrics gateway.Metrics) *entryNode {
	n := &entryNode{file: file, settings: s, level: new(slog.LevelVar)}
	n.setLevel(s.LogLevel)
	n.log = slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: n.level})).With("vm", s.VM.Name)
	clock, boot := port.SystemClock{}, bootclock.Clock{}
	placer := placement.New(placement.Settings{Region: s.VM.Region, AvailabilityZone: s.VM.AvailabilityZone})
	fingerprints := retry.NewFingerprints()
	pool := httpconn.New(httpconn.Options{Transport: targetTransport()})
	targets := platform.NewTargets(pool, clock)
	storeLog := platform.NewLog(s.Log.Address, pool)
	n.dir = gateway.NewDirectory(n.log, clock, placer)
	n.gateway = gateway.New(gateway.Deps{
		Settings: gatewaySettings(s), Forwarder: targets, Control: targets, Placer: placer, Directory: n.dir,
		Holdings: placement.NewHoldings(), Clock: clock, BootClock: boot, Log: n.log, Metrics: metrics,
		Routers:      func() int { return len(n.routerNames()) },
		Wanted:       func(model string) (int, time.Time) { return n.weights.Wanted(model) },
		Fingerprints: fingerprints, WatchedField: platform.WatchedField,
	})
	n.caches = &cachewatch.Watch{Caches: targets, Holdings: n.gateway.Holdings, Clock: clock, Logger: n.log, List: n.cacheAddresses}
	n.weights = weights.New(weights.Deps{Log: storeLog, Control: targets, Clock: boot, Logger: n.log,
		Holder:   s.VM.Name + "@" + strconv.FormatInt(time.Now().UnixMilli(), 36),
		Fenced:   s.Bounds.TargetsCheckFencing,
		TurnTime: settings.Milliseconds(s.Bounds.HolderTurnMs), Targets: n.engines,
		OnOrdered: func(id string, d time.Duration) { n.dir.SetOrdered(id, clock.Now().Add(d)) },
		OnWeights: n.dir.SetWeights})
	n.operator = sitesync.Operator(&sitesync.Stream{Log: storeLog, Logger: n.log, Clock: boot,
		Apply: n.applyOperator, Verified: n.gateway.Verify, Peers: n.pullFromPeers})
	n.streams = []*sitesync.Stream{n.operator, sitesync.Targets(&sitesync.Stream{Log: storeLog, Logger: n.log, Clock: boot,
		Apply: n.applyTarget, Reset: n.dir.Retain})}
	n.joinPeers(storeLog, fingerprints)
	idle := &idleConns{limit: n.idleLimit, timers: map[net.Conn]*time.Timer{}}
	n.callers = &http.Server{Handler: &platform.Ingress{Gateway: n.gateway, Clock: clock}, ReadHeaderTimeout: headerTimeout,
		ConnState: idle.changed, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
	n.ready = &http.Server{Handler: platform.ReadyHandler(n.gateway.Ready), ReadHeaderTimeout: headerTimeout}
	n.metrics = &http.Server{Handler: metricsHandler(), ReadHeaderTimeout: headerTimeout}
	return n
}

// metricsHandler serves counters and latency histograms.
func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

func gatewaySettings(s settings.Gateway) gateway.Settings {
	g := gateway.Settings{AvailabilityZone: s.VM.AvailabilityZone, Regions: s.Regions,
		StaleBound:   settings.Milliseconds(s.Bounds.ConfigurationMs),
		WeightsBound: settings.Milliseconds(s.Bounds.WeightsMs),
		RepeatRatio:  s.Bounds.RepeatRatio, RepeatAllowance: s.Bounds.RepeatAllowance,
		RepeatWindow: settings.Seconds(s.Bounds.RepeatWindowS)}
	if s.Bounds.KeyRevokedStrict {
		g.KeyBound = settings.Milliseconds(s.Bounds.KeyRevokedMs) - keyMargin
	}
	return g
}

func (n *entryNode) setLevel(level string) {
	var l slog.Level
	if l.UnmarshalText([]byte(level)) == nil {
		n.level.Set(l)
	}
}

// targetTransport notices connections that went silent by unacknowledged bytes.
func targetTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
		})
		return errors.Join(err, failed)
	}}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: idleToTarget,
		MaxResponseHeaderBytes: 64 << 10, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10}
}

func (n *entryNode) applyOperator(r port.KeyedRecord) {
	if r.Value == nil {
		return
	}
	if platform.IsConfiguration(r.Key) {
		c, err := platform.DecodeConfiguration(r.Value)
		if err != nil {
			n.log.Error("configuration not read", "error", err.Error())
			return
		}
		n.gateway.SetConfiguration(c)
		return
	}
	model, version, ok, err := platform.DecodeWeights(r.Key, r.Value)
	if err != nil {
		n.log.Error("weights version not read", "key", r.Key, "error", err.Error())
	} else if ok {
		n.weights.Want(model, version)
	}
}

func (n *entryNode) applyTarget(r port.KeyedRecord) {
	if r.Value == nil {
		n.dir.Remove(r.Key)
		return
	}
	entry, err := platform.DecodeTarget(r.Key, r.Value)
	if err != nil {
		n.log.Info("target entry not read", "key", r.Key, "error", err.Error())
		n.dir.Remove(r.Key)
		return
	}
	n.dir.Put(entry)
}

// engines lists the targets that serve models.
func (n *entryNode) engines() []weights.Target {
	var out []weights.Target
	for _, t := range n.dir.All() {
		for model, version := range t.Weights {
			out = append(out, weights.Target{ID: t.ID, Address: t.Address, Incarnation: t.Incarnation(), Model: model,
				Version: version, InFlight: t.InFlight})
		}
	}
	return out
}

// cacheAddresses lists the engines and stores whose cache events this router reads.
func (n *entryNode) cacheAddresses() []string {
	c := n.gateway.Configuration()
	if c == nil {
		return nil
	}
	routers := n.routerNames()
	var out []string
	add := func(address string, readers int) {
		if placement.Follows(n.settings.VM.Name, routers, address, readers) {
			out = append(out, address)
		}
	}
	for _, t := range n.dir.All() {
		if s := c.Services[t.Service]; s != nil && s.Engine != nil {
			add(t.Address, s.Engine.EventReaders)
		}
	}
	for _, s := range c.Services {
		if s.Store != nil {
			add(s.Store.Address, s.Store.EventReaders)
		}
	}
	return out
}

func (n *entryNode) routerNames() []string {
	if names := n.routers.Load(); names != nil {
		return *names
	}
	return []string{n.settings.VM.Name}
}

func (n *entryNode) idleLimit() time.Duration {
	if c := n.gateway.Configuration(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return idleBeforeConfiguration
}

func (n *entryNode) prune(ctx context.Context) error {
	for {
		if err := ctxtime.Sleep(ctx, pruneTick); err != nil {
			return err
		}
		n.dir.Prune()
	}
}

// watchSettings reads the settings file again after SIGHUP and after changes
// without a signal.
func (n *entryNode) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last, _ := os.Stat(n.file)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hup:
			signalled = true
		case <-ticker.C:
		}
		info, err := os.Stat(n.file)
		if err != nil {
			n.log.Warn("settings not found", "error", err.Error())
			continue
		}
		if !signalled && last != nil && info.ModTime().Equal(last.ModTime()) && info.Size() == last.Size() {
			continue
		}
		last = info
		n.reload()
	}
}

// reload applies what may change while the process runs; addresses take a restart.
func (n *entryNode) reload() {
	s, err := settings.LoadGateway(n.file)
	if err != nil {
		n.log.Error("settings not reloaded", "error", err.Error())
		return
	}
	n.setLevel(s.LogLevel)
	n.gateway.SetSettings(gatewaySettings(s))
	n.log.Info("settings reloaded", "bounds", s.Bounds)
}

// addStop ends the group after SIGTERM or SIGINT: the entry is told first, then
// open requests end.
func (n *entryNode) addStop(ctx context.Context, cancel context.CancelFunc, group *run.Group) {
	group.Add(func() error {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		defer signal.Stop(signals)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case received := <-signals:
			n.shutDown(ctx, received)
			return ErrStopped
		}
	}, func(error) { cancel() })
}

func (n *entryNode) shutDown(ctx context.Context, received os.Signal) {
	n.gateway.BeginDrain()
	end := time.Now().Add(settings.Seconds(n.settings.Bounds.StopS) - endMargin)
	n.log.Info("stopping", "signal", received.String(), "open", n.gateway.Open())
	n.registry.Remove(ctx)
	if err := n.fleet.Leave(ctx); err != nil {
		n.log.Info("peers not told of the stop", "error", err.Error())
	}
	if err := ctxtime.Sleep(ctx, leaveWait); err != nil {
		n.log.Warn("stop cut short", "error", err.Error())
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.Warn("requests cut off by the end of the time to stop", "open", n.gateway.Open(), "error", err.Error())
	}
}

// idleConns closes clients' connections that are idle beyond the limit of the
// configuration in force.
type idleConns struct {
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func (i *idleConns) changed(c net.Conn, state http.ConnState) {
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
		// The client has closed it already when this fails.
		_ = c.Close()
	}
}
