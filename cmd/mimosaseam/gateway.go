package main

import (
	"context"
	"errors"
	"expvar"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"

	"mimosaseam.example/mimosaseam/internal/adapter/clientconn"
	"mimosaseam.example/mimosaseam/internal/adapter/httpconn"
	"mimosaseam.example/mimosaseam/internal/adapter/peergrpc"
	"mimosaseam.example/mimosaseam/internal/adapter/sockbuf"
	"mimosaseam.example/mimosaseam/internal/adapter/telemetry"
	"mimosaseam.example/mimosaseam/internal/app/allotments"
	"mimosaseam.example/mimosaseam/internal/app/cachewatch"
	"mimosaseam.example/mimosaseam/internal/app/fleet"
	"mimosaseam.example/mimosaseam/internal/app/gateway"
	"mimosaseam.example/mimosaseam/internal/app/gatewaysync"
	"mimosaseam.example/mimosaseam/internal/app/registry"
	"mimosaseam.example/mimosaseam/internal/app/weights"
	"mimosaseam.example/mimosaseam/internal/bootclock"
	"mimosaseam.example/mimosaseam/internal/core/membudget"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/placement/baseline"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/settings"
	"mimosaseam.example/mimosaseam/platform"
)

const (
	settingsVariable = "MIMOSASEAM_NODE_FILE"

	// clientFDs is the share of the file descriptors for clients' connections. The others are
	// for targets, of which each open request needs one, the log and other routers.
	clientFDs = 0.5
	// connectTimeout bounds connection setup. The kernel retransmits the first packet
	// after a second, which is too late for most requests.
	connectTimeout = 600 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as dead.
	ackTimeout = 2 * time.Second
	// targetIdleTimeout is how long an idle connection to a target stays pooled.
	targetIdleTimeout = 20 * time.Second
	// defaultClientIdleTimeout applies to clients' connections until the
	// configuration sets a limit.
	defaultClientIdleTimeout = 60 * time.Second
	// headerTimeout closes connections whose client never completes its headers; it
	// is far above the delay of any usable link.
	headerTimeout = 10 * time.Second
	// clockRateMargin compensates for clocks that run at different rates.
	clockRateMargin = 100 * time.Millisecond
	// failedChecks is how long the load balancer takes to fail two readiness checks.
	failedChecks = 2 * time.Second
	// leaveDelay is how long a stopping router accepts new connections: the load
	// balancer checks readiness once a second and stops sending after two failures.
	leaveDelay = 2500 * time.Millisecond
	// exitMargin is the part of the shutdown time reserved for the final cleanup.
	exitMargin = 700 * time.Millisecond
	// settingsPollInterval is the time between checks of the settings file, which may
	// change without a signal.
	settingsPollInterval = 2 * time.Second
	// leaseCandidates is the number of routers that claim the lease on orders early: all of
	// them would have to fail at once.
	leaseCandidates = 5
	// silenceHeartbeats is the number of heartbeat intervals after which a target that owes a
	// response counts as silent. The log removes the entry of a silent target after three.
	silenceHeartbeats = 2
	// pruneInterval is the time between removals of targets that have long been gone.
	// It only bounds memory.
	pruneInterval = 10 * time.Second
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

// gatewayNode holds the components of a router started by `gateway`, which passes
// requests on unchanged.
type gatewayNode struct {
	file     string
	settings settings.Gateway
	log      *slog.Logger
	level    *slog.LevelVar
	tracer   trace.Tracer
	clock    port.Clock
	// bootClock keeps running while the VM is suspended.
	bootClock port.Clock
	gateway   *gateway.Gateway
	dir       *gateway.Directory
	placer    placement.Placer
	weights   *weights.Manager
	followers []*gatewaysync.Follower
	operator  *gatewaysync.Follower
	fleet     *fleet.Fleet
	registry  *registry.Registry
	// peerClient calls the other routers, peers serves them.
	peerClient *peergrpc.Client
	peers      *grpc.Server
	allotments *allotments.Service
	// routers holds the names of the routers that may be serving, this one included.
	routers atomic.Pointer[[]string]
	readers routerList
	caches  *cachewatch.Watcher
	callers *http.Server
	conns   *callerConns
	clients *membudget.Budget
	counts  gateway.Metrics
	ready   *operatorPort
	metrics *operatorPort
}

func serveGateway(file string, s settings.Gateway) error {
	signals := notifyStop()
	setMemoryLimit(s.Limits.MemoryMB)
	out := telemetry.NewBoundedWriter(os.Stdout)
	defer out.Close()
	traces, err := telemetry.StartTraces(context.Background(),
		settings.Telemetry{OTLPAddress: s.Tracing.OTLPAddress, TraceRatio: s.Tracing.TraceRatio}, s.VM)
	if err != nil {
		return err
	}
	n := newGatewayNode(file, s, out, traces.Tracer, telemetry.NewMetrics("gateway", "gateway_ms"))
	n.publishGauges()
	expvar.Publish("client_memory", expvar.Func(func() any { return n.clients.Stats() }))
	expvar.Publish("operator_memory", expvar.Func(func() any { return operatorMemory(n.ready, n.metrics) }))
	n.log.Info("starting", "version", version, "availability_zone", s.VM.AvailabilityZone, "callers", s.Callers.Address, "ready", s.Ready.Address, "log", s.Log.Address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	for _, l := range []struct {
		address string
		server  *http.Server
		count   func(net.Listener) net.Listener
		buffers sockbuf.Sizes
	}{
		{s.Callers.Address, n.callers, n.trackClients, clientconn.CallerBuffers},
		{s.Ready.Address, n.ready.server, n.ready.listen, clientconn.ProbeBuffers},
		{s.Metrics.Address, n.metrics.server, n.metrics.listen, clientconn.ProbeBuffers},
	} {
		if l.address == "" {
			continue
		}
		listener, err := clientconn.ListenTCP(l.address, l.buffers)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		addHTTP(&group, l.count(listener), l.server)
	}
	peers, err := net.Listen("tcp", s.Peers.Address)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	group.Add(func() error { return n.peers.Serve(peers) }, func(error) { n.peers.Stop() })
	loops := map[string]func(context.Context) error{"weights": n.weights.Run, "cache events": n.caches.Run, "settings": n.watchSettings,
		"prune": n.prune, "registry": n.registry.Run, "fleet": n.fleet.Run, "allotments": n.allotments.Run}
	for _, s := range n.followers {
		loops[s.Name] = s.Run
	}
	addLoops(ctx, cancel, &group, n.log, loops)
	addSignal(ctx, cancel, &group, signals, n.shutDown)
	err = group.Run()
	closing, cancelClosing := context.WithTimeout(context.Background(), exitMargin/2)
	defer cancelClosing()
	if closeErr := traces.Close(closing); closeErr != nil {
		n.log.Warn("spans not exported", "why", closeErr.Error())
	}
	n.log.Info("stopped", "reason", err.Error())
	if errors.Is(err, ErrStopped) {
		return nil
	}
	return err
}

func newGatewayNode(file string, s settings.Gateway, out io.Writer, tracer trace.Tracer, metrics gateway.Metrics) *gatewayNode {
	n := &gatewayNode{file: file, settings: s, level: new(slog.LevelVar), tracer: tracer, clock: port.SystemClock{}, bootClock: bootclock.Clock{}}
	n.setLevel(s.LogLevel)
	n.log = slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: n.level})).With("vm", s.VM.Name)
	pool := httpconn.New(httpconn.Options{Transport: targetTransport()})
	targets, log := platform.NewTargets(pool, n.clock), platform.NewLog(s.Log.Address, pool)
	crashTracker, segmentTracker := retry.NewCrashTracker(), retry.NewSegmentTracker()
	segmentTracker.OnChange(func(c retry.SegmentChange) { logSegmentChange(n.log, c) })
	n.peerClient = peergrpc.NewClient(nil, peergrpc.WithTracer(n.tracer))
	n.buildAllotments(metrics)
	n.buildGateway(targets, crashTracker, segmentTracker, metrics)
	n.buildWeights(targets, log)
	n.buildFollowers(targets, log)
	n.joinPeers(log, crashTracker, segmentTracker)
	n.counts = metrics
	n.buildServers()
	return n
}

// logSegmentChange logs that a request, or requests with some prompt segments, are refused, no longer
// are, or that one of them is tried.
func logSegmentChange(log *slog.Logger, c retry.SegmentChange) {
	if c.Request != 0 {
		text := "request released"
		if c.Quarantined {
			text = "request quarantined"
		}
		log.Warn(text, "fingerprint", c.Request.String(), "crashes", c.Crashes)
		return
	}
	attrs := []any{"segment_hashes", segmentHashes(c.Segments), "crashes", c.Crashes, "requests", c.Requests}
	switch {
	case c.Trial != 0:
		log.Warn("segment tried", append(attrs, "fingerprint", c.Trial.String())...)
	case c.Quarantined:
		log.Warn("segment quarantined", attrs...)
	default:
		log.Warn("segment released", attrs...)
	}
}

func segmentHashes(segments []retry.SegmentHash) string {
	out := make([]string, len(segments))
	for i, s := range segments {
		out[i] = s.String()
	}
	return strings.Join(out, " ")
}

func (n *gatewayNode) buildGateway(targets *platform.Targets, crashTracker *retry.CrashTracker, segmentTracker *retry.SegmentTracker, metrics gateway.Metrics) {
	vm := n.settings.VM
	if n.placer = baseline.New(n.settings.Policy, rand.Uint64(), 1); n.placer == nil {
		n.placer = placement.New(indexSettings(placement.Settings{Region: vm.Region, AvailabilityZone: vm.AvailabilityZone}, n.settings.Limits.MemoryMB, defaultIndexBytes))
	}
	leaving := settings.Milliseconds(n.settings.Bounds.LeavingMs)
	n.dir = gateway.NewDirectory(n.log, n.clock, n.placer, gateway.LeavingGrace(leaving, gatewaysync.TargetsInterval(leaving)))
	n.gateway = gateway.New(gateway.Deps{
		Settings: gatewaySettings(n.settings), Forwarder: targets, Control: targets, Placer: n.placer, Directory: n.dir,
		CacheContents: placement.NewCacheIndex(), Clock: n.clock, BootClock: n.bootClock, Log: n.log, Metrics: metrics, Tracer: n.tracer,
		Routers:         n.routerCount,
		DesiredVersion:  func(model string) (int, time.Time) { return n.weights.Desired(model) },
		MinVersion:      func(model string, within time.Duration) int { return n.weights.MinVersion(model, within) },
		AnnouncePrefill: func(target string, tokens int) { n.fleet.AnnouncePrefill(target, tokens) },
		AnnounceRate:    func(r port.TargetRate) { n.fleet.AnnounceRate(r) },
		IsChosen:        func(key string, count int) bool { return placement.IsChosen(vm.Name, n.routerNames(), key, count) },
		CrashTracker:    crashTracker, SegmentTracker: segmentTracker, Allotments: n.allotments, WeightsField: platform.WeightsVersionField,
	})
}

func (n *gatewayNode) buildWeights(targets *platform.Targets, log *platform.Log) {
	s := n.settings
	n.weights = weights.New(weights.Deps{
		Log: log, History: log.History, Control: targets, Clock: n.bootClock, Logger: n.log,
		Holder:              s.VM.Name + "@" + strconv.FormatInt(time.Now().UnixMilli(), 36),
		TargetsCheckFencing: s.Bounds.TargetsCheckFencing, HandoverInterval: settings.Milliseconds(s.Bounds.HandoverIntervalMs),
		Candidate: func() bool { return placement.IsChosen(s.VM.Name, n.routerNames(), port.StreamOrders, leaseCandidates) },
		Targets:   n.engines,
		OnPaused:  func(id string, d time.Duration) { n.dir.SetPaused(id, n.clock.Now().Add(d)) },
		OnLoading: func(l port.TargetLoading) { n.fleet.AnnounceLoading(l) },
		OnWeights: n.dir.ObserveStatus,
	})
}

// buildFollowers builds the followers of the log streams and of cache events.
func (n *gatewayNode) buildFollowers(targets *platform.Targets, log *platform.Log) {
	n.operator = gatewaysync.Operator(&gatewaysync.Follower{Log: log, Logger: n.log, Clock: n.bootClock,
		Apply: n.applyOperator, Revision: platform.OperatorRevision, OnVerified: n.gateway.MarkVerified, Peers: n.pullFromPeers, Relay: n.pullFromReader, HasFollowers: n.hasFollowers})
	interval, heartbeat := gatewaysync.TargetsInterval(settings.Milliseconds(n.settings.Bounds.LeavingMs)), settings.Milliseconds(n.settings.Targets.HeartbeatMs)
	entries := gatewaysync.Targets(&gatewaysync.Follower{Log: log, Logger: n.log, Clock: n.bootClock,
		Apply: n.applyTarget, Reset: n.dir.Retain, Unchanged: platform.IsSameTarget, Revision: platform.TargetRevision,
		IsSilent: func(id string) bool { return n.dir.IsSilent(id, silenceHeartbeats*heartbeat) },
		Peers:    n.pullFromPeers, IsLogOnly: true, Relay: n.pullFromReader}, interval, heartbeat)
	n.followers = []*gatewaysync.Follower{n.operator, entries}
	n.caches = &cachewatch.Watcher{Caches: targets, CacheContents: n.gateway.CacheContents, Clock: n.clock, Logger: n.log, List: n.cacheAddresses}
}

func (n *gatewayNode) buildServers() {
	n.conns = newCallerConns(n.idleLimit)
	n.clients = newClientBudget(n.settings.Limits.MemoryMB, int(clientFDs*n.settings.Limits.MaxFDs))
	n.callers = &http.Server{Handler: &platform.Ingress{Gateway: n.gateway, Clock: n.clock, BegunAt: begunAt}, ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes: int(n.settings.Limits.HeaderBytes), ConnState: n.onStateChange,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return clientconn.WithConn(withConn(ctx, c), c) }, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
		// The server would answer "OPTIONS *" itself and wait for its body without a time limit.
		DisableGeneralOptionsHandler: true}
	memory, descriptors := n.settings.Limits.MemoryMB, int(n.settings.Limits.MaxFDs)
	n.ready = newOperatorPort("ready", memory, descriptors, clientconn.WithoutBodies(platform.ReadyHandler(n.gateway.Ready)), n.log)
	n.metrics = newOperatorPort("metrics", memory, descriptors, clientconn.WithoutBodies(metricsHandler()), n.log)
}

// trackClients makes the connections of a listener hold their memory within the budget, and
// tracks them for a planned stop.
func (n *gatewayNode) trackClients(l net.Listener) net.Listener {
	n.conns.Listener = clientconn.Listen(l, clientconn.Options{Budget: n.clients, Limits: n.clientLimits, Logger: n.log, Metrics: n.counts})
	return n.conns
}

func (n *gatewayNode) onStateChange(c net.Conn, state http.ConnState) {
	clientconn.OnStateChange(c, state)
	n.conns.onStateChange(c, state)
}

// clientLimits returns the limits of the configuration for the heads of requests.
func (n *gatewayNode) clientLimits() clientconn.Limits {
	c := n.gateway.Configuration()
	if c == nil {
		return clientconn.Limits{}
	}
	return clientconn.Limits{HeadBytes: int(c.Limits.MaxHeaderBytes), HeadTime: c.Limits.HeaderTimeout}
}

// metricsHandler serves counters and latency histograms.
func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// targetTransport detects dead connections by bytes that stay unacknowledged.
func targetTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: func(network, address string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
		})
		return errors.Join(err, failed, httpconn.TargetBuffers.Control(network, address, c))
	}}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: targetIdleTimeout,
		MaxResponseHeaderBytes: httpconn.MaxHeaderBytes, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10}
}

func (n *gatewayNode) idleLimit() time.Duration {
	if c := n.gateway.Configuration(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return defaultClientIdleTimeout
}

func (n *gatewayNode) prune(ctx context.Context) error {
	for {
		if err := ctxtime.Sleep(ctx, pruneInterval); err != nil {
			return err
		}
		n.dir.Prune()
	}
}
