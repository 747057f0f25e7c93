package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc/credentials"

	"mimosaseam.example/mimosaseam/internal/adapter/adminhttp"
	"mimosaseam.example/mimosaseam/internal/adapter/callerhttp"
	"mimosaseam.example/mimosaseam/internal/adapter/enginehttp"
	"mimosaseam.example/mimosaseam/internal/adapter/httpconn"
	"mimosaseam.example/mimosaseam/internal/adapter/peergrpc"
	"mimosaseam.example/mimosaseam/internal/adapter/servicehttp"
	"mimosaseam.example/mimosaseam/internal/adapter/telemetry"
	"mimosaseam.example/mimosaseam/internal/adapter/tlsconfig"
	"mimosaseam.example/mimosaseam/internal/app/allotments"
	"mimosaseam.example/mimosaseam/internal/app/atmostonce"
	"mimosaseam.example/mimosaseam/internal/app/completions"
	"mimosaseam.example/mimosaseam/internal/app/configsync"
	"mimosaseam.example/mimosaseam/internal/app/fleet"
	"mimosaseam.example/mimosaseam/internal/app/follow"
	"mimosaseam.example/mimosaseam/internal/app/observe"
	"mimosaseam.example/mimosaseam/internal/app/orders"
	"mimosaseam.example/mimosaseam/internal/app/shares"
	"mimosaseam.example/mimosaseam/internal/bootclock"
	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/core/membudget"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/settings"
)

// serveNode holds the components of a router started by `serve`.
type serveNode struct {
	settings settings.Settings
	log      *slog.Logger
	traces   telemetry.Traces
	metrics  *telemetry.Metrics
	started  time.Time
	holder   string

	platform       platformClients
	engine         *enginehttp.Client
	service        *servicehttp.Client
	peers          *peergrpc.Client
	peerCreds      credentials.TransportCredentials
	config         *configsync.Sync
	ledger         *atmostonce.Service
	placer         *placement.Policy
	targets        *completions.Targets
	crashTracker   *retry.CrashTracker
	segmentTracker *retry.SegmentTracker
	shares         *shares.Shares
	allotments     *allotments.Service
	vms            *cachedVMList
	fleet          *fleet.Fleet
	orders         *orders.Manager
	observer       *observe.Observer
	followers      []*follow.Follower
	router         *completions.Router
	callers        *callerhttp.Server
	clients        *membudget.Budget
	admin          *operatorPort

	// pendingFingerprints holds crash fingerprints that are not in the log yet.
	pendingFingerprints chan string

	// joined is closed once the hot prefixes were restored from a peer or from the
	// log, or neither source is available.
	joined chan struct{}

	mu         sync.Mutex
	draining   bool
	logContact time.Time
	offsets    map[string]port.Offset
}

// newServeNode builds the components without starting them.
func newServeNode(ctx context.Context, s settings.Settings, logger *slog.Logger) (*serveNode, error) {
	n := &serveNode{settings: s, log: logger, started: time.Now(), offsets: map[string]port.Offset{},
		pendingFingerprints: make(chan string, maxPendingFingerprints), joined: make(chan struct{})}
	n.holder = s.VM.Name + "/" + strconv.FormatInt(n.started.UnixMilli(), 10)
	n.metrics = telemetry.NewMetrics("mimosaseam", "mimosaseam_durations")
	n.crashTracker = retry.NewCrashTracker()
	n.crashTracker.SetReport(n.reportFingerprint)
	n.segmentTracker = retry.NewSegmentTracker()
	n.segmentTracker.SetReport(n.reportFingerprint)
	n.segmentTracker.OnChange(func(c retry.SegmentChange) { logSegmentChange(n.log, c) })
	var err error
	if n.traces, err = telemetry.StartTraces(ctx, s.Telemetry, s.VM); err != nil {
		return nil, err
	}
	if err := n.buildClients(); err != nil {
		return nil, err
	}
	n.buildState()
	n.buildFleet()
	n.buildServing()
	n.publishGauges()
	return n, nil
}

func (n *serveNode) buildClients() error {
	s := n.settings
	var err error
	if n.platform, err = newPlatform(s, n.traces.Tracer); err != nil {
		return err
	}
	targetTLS, err := tlsconfig.Client(s.Targets.TLS.CAFile)
	if err != nil {
		return err
	}
	connections := httpconn.Options{TLS: targetTLS}
	n.engine = enginehttp.New(enginehttp.Options{Options: connections})
	n.service = servicehttp.New(servicehttp.Options{Options: connections})
	server, client, err := tlsconfig.Mutual(s.Peers.TLS.CertFile, s.Peers.TLS.KeyFile, s.Peers.TLS.CAFile)
	if err != nil {
		return err
	}
	var clientCreds credentials.TransportCredentials
	if server != nil {
		n.peerCreds, clientCreds = credentials.NewTLS(server), credentials.NewTLS(client)
	}
	n.peers = peergrpc.NewClient(clientCreds, peergrpc.WithTracer(n.traces.Tracer))
	return nil
}

// buildState builds the components that follow the log or learn from traffic.
func (n *serveNode) buildState() {
	s := n.settings
	n.config = configsync.New(configsync.Options{
		Log: n.platform.log, Peer: peerRecords{n}, SystemKey: systemKey(s),
		Retention: s.Platform.Retention(), Logger: n.log,
	})
	n.ledger = atmostonce.New(atmostonce.Options{
		Log: n.platform.log, Router: n.holder, Retention: s.Platform.Retention(),
		AppendsPerSecond: s.Platform.AppendsPerSecond, Logger: n.log, MaxBytes: memoryShare(float64(s.Resources.MemoryMB), ledgerFraction),
	})
	seed := uint64(s.Resources.Seed)
	if seed == 0 {
		seed = completions.SystemRandom{}.Uint64()
	}
	placerSettings := placement.DefaultSettings()
	placerSettings.Seed, placerSettings.Region = seed, s.VM.Region
	placerSettings.AvailabilityZone = s.VM.AvailabilityZone
	placerSettings = indexSettings(placerSettings, float64(s.Resources.MemoryMB), s.Resources.IndexBytes)
	n.placer = placement.New(placerSettings)
	n.targets = completions.NewTargets(port.SystemClock{}, n.placer)
	n.orders = orders.New(orders.Deps{
		Log: n.platform.log, Engine: n.engine, Weights: n.platform.weights, Clock: port.SystemClock{},
		Logger: n.log, Holder: n.holder, Desired: n.desired,
	})
	n.followers = []*follow.Follower{
		{Log: n.platform.log, Stream: port.StreamFleet, Logger: n.log, Handle: n.observeFleetRecord, OnContact: n.recordLogContact},
		{Log: n.platform.log, Stream: port.StreamOrders, Logger: n.log, Handle: n.orders.Observe, Tail: orders.Tail},
	}
	n.observer = observe.New(observe.Deps{
		Engine: n.engine, Source: n.config, Placer: n.placer, Targets: n.targets,
		Clock: port.SystemClock{}, Logger: n.log,
		EventBytesPerSecond: s.Resources.EventBytesPerS, Router: s.VM.Name,
	})
}

func (n *serveNode) buildServing() {
	n.router = completions.New(completions.Deps{
		Engine: n.engine, Service: n.service, Placer: n.placer, Runner: n.ledger, Source: n.config,
		Targets: n.targets, Shares: n.shares, Allotments: n.allotments, CrashTracker: n.crashTracker, SegmentTracker: n.segmentTracker,
		Logger: n.log, Tracer: n.traces.Tracer, Metrics: n.metrics,
	})
	c := n.settings.Callers
	n.clients = newClientBudget(float64(n.settings.Resources.MemoryMB), c.Connections)
	n.admin = newOperatorPort("admin", float64(n.settings.Resources.MemoryMB), 0, adminhttp.Handler(n), n.log)
	n.callers = callerhttp.New(callerhttp.Deps{
		Router: n.router, Source: n.config, Logger: n.log, Tracer: n.traces.Tracer, Metrics: n.metrics,
		Limits: callerhttp.Limits{
			HeaderBytes: c.HeaderBytes, BodyBytes: int64(c.BodyBytes),
			BodyTimeout:  time.Duration(c.ReadTimeoutS) * time.Second,
			WriteTimeout: time.Duration(c.WriteStallS) * time.Second,
			OpenRequests: c.Connections,
		},
	})
}

func (n *serveNode) buildFleet() {
	s := n.settings
	n.allotments = allotments.New(allotments.Options{
		Self: s.VM.Name, Incarnation: uint64(n.started.UnixNano()), Clock: bootclock.Clock{}, Peer: n.peers,
		Limits:  func(key allotment.Key) (allotment.Limit, bool) { return completions.RateLimit(n.config, key) },
		Enabled: n.hasRates(),
		Logger:  n.log, Metrics: n.metrics,
	})
	n.vms = &cachedVMList{VMList: n.platform.vmList, onList: n.observeListed}
	n.fleet = fleet.New(fleet.Options{
		Self: port.Member{
			Name: s.VM.Name, Address: s.Peers.Address, Region: s.VM.Region,
			AvailabilityZone: s.VM.AvailabilityZone, Incarnation: uint64(n.started.UnixMilli()),
		},
		Seeds: s.Peers.Seeds, Peer: n.peers, VMList: n.vms, Logger: n.log,
		ListInterval: time.Duration(s.Platform.VMListPollMs) * time.Millisecond,
		Sources: fleet.Sources{
			ConfigOffset:   n.config.Applied,
			InFlight:       n.placer.InFlight,
			Demand:         func() map[string]float64 { return n.router.Demand() },
			Summary:        func(max int) []byte { return n.placer.Summary(time.Now(), max) },
			SummaryChanges: func(max int) []byte { return n.placer.Summary(time.Now(), max) },
			Records:        n.config.PullRecords,
		},
		Callbacks: fleet.Callbacks{
			OnPeerInFlight: n.observePeerInFlight,
			OnFingerprints: n.receiveFingerprints,
			OnSummary:      n.restoreSummary,
			OnTargets:      func([]port.TargetMark) { n.refreshLeaving() },
			OnRouters:      n.setRouters,
			OnConfigOffset: n.observeConfigOffset,
			OnDraw:         n.allotments.HandleDraw,
		},
	})
	n.crashTracker.SetArbiter(n.fleet)
	n.segmentTracker.SetTrialTurn(func(key string, count int) bool {
		return placement.IsChosen(s.VM.Name, servingNames(s.VM.Name, n.fleet.Routers()), key, count)
	})
	n.shares = shares.New(s.VM.Name, n.fleet.Demand)
}

// hasRates returns a function that reports whether an account has a rate limit in the
// configuration in force. It looks at each configuration once and is not safe for concurrent
// use.
func (n *serveNode) hasRates() func() bool {
	var seen *config.Snapshot
	has := false
	return func() bool {
		if current := n.config.Current(); current != seen {
			seen, has = current, current != nil && completions.HasRates(current)
		}
		return has
	}
}

// observeListed tells the allotments how many routers the platform lists. The list does not
// tell whether a router of this name existed before, so that this one counts as new.
func (n *serveNode) observeListed(list port.VMSnapshot) {
	routers := 1
	for _, vm := range list.VMs {
		if vm.Role == port.RoleRouter && vm.Name != n.settings.VM.Name {
			routers++
		}
	}
	n.allotments.RouterListed(false, routers)
}

// peerRecords reads configuration records from other routers.
type peerRecords struct{ n *serveNode }

func (p peerRecords) PullRecords(ctx context.Context, stream string, from port.Offset, limit int) (port.Batch, error) {
	return p.n.fleet.PullRecords(ctx, stream, from, limit)
}

func (n *serveNode) observePeerInFlight(peer string, counts map[string]int) {
	n.placer.ObservePeerInFlight(time.Now(), peer, counts)
	n.shares.SetInFlight(peer, counts)
}

func (n *serveNode) restoreSummary(peer string, summary []byte) {
	if err := n.placer.Restore(time.Now(), summary); err != nil {
		n.log.Warn("hot-prefix summary rejected", "peer", peer, "error", err)
	}
}

func (n *serveNode) setRouters(routers []membership.Router) {
	n.shares.SetRouters(routers)
	n.allotments.SetRouters(routers)
	n.placer.ObserveRouters(n.shares.Routers().Count)
}

func (n *serveNode) observeConfigOffset(peer string, offset port.Offset) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.offsets[peer] = max(n.offsets[peer], offset)
}

// receiveFingerprints merges crash fingerprints and evidence against prompt segments
// reported by peers.
func (n *serveNode) receiveFingerprints(fingerprints []port.Fingerprint) {
	n.crashTracker.Receive(time.Now(), fingerprints)
	n.segmentTracker.Receive(time.Now(), fingerprints)
}

// refreshLeaving updates the set of leaving targets, which get no new requests.
func (n *serveNode) refreshLeaving() {
	n.targets.SetLeaving(leavingAddresses(n.fleet.LeavingTargets(), n.vms.addressOf, n.config.Current()))
}

// desired lists the model and weights version that each engine should serve.
func (n *serveNode) desired() []orders.Desired {
	var out []orders.Desired
	for ref, pool := range n.config.Current().Pools {
		if pool.Kind != config.PoolEngine || pool.WeightsVersion == "" {
			continue
		}
		for _, t := range pool.Targets {
			out = append(out, orders.Desired{
				Pool: ref.String(), Target: t.Name, Address: t.Address, Model: pool.Model,
				WeightsVersion: pool.WeightsVersion, ChecksFencing: pool.ChecksFencing,
			})
		}
	}
	return out
}

func (n *serveNode) recordLogContact() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logContact = time.Now()
}

// fleetRecord is a record of the fleet stream.
type fleetRecord struct {
	Kind         string   `json:"kind"`
	Fingerprints []string `json:"fingerprints,omitempty"`
}

const kindFingerprints = "fingerprints"

func (n *serveNode) observeFleetRecord(r port.Record) {
	age := time.Since(r.AppendedAt)
	if age > membership.FingerprintTTL {
		return
	}
	var record fleetRecord
	if json.Unmarshal(r.Data, &record) == nil && record.Kind == kindFingerprints {
		fingerprints := make([]port.Fingerprint, len(record.Fingerprints))
		for i, value := range record.Fingerprints {
			fingerprints[i] = port.Fingerprint{Value: value, Age: max(0, age)}
		}
		n.receiveFingerprints(fingerprints)
	}
}

// maxPendingFingerprints bounds the crash fingerprints queued for the log.
const maxPendingFingerprints = 256

// reportFingerprint announces a crash fingerprint to peers immediately and queues
// it for the log, from which routers that start later read it.
func (n *serveNode) reportFingerprint(value string) {
	n.fleet.ReportFingerprint(value)
	select {
	case n.pendingFingerprints <- value:
	default: // peers have it; it is lost only if all routers restart
	}
}

// logFingerprints writes queued crash fingerprints to the log, batching all that
// are pending into one append.
func (n *serveNode) logFingerprints(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case value := <-n.pendingFingerprints:
			n.appendFingerprints(ctx, n.drainPendingFingerprints(value))
		}
	}
}

func (n *serveNode) drainPendingFingerprints(value string) []string {
	values := []string{value}
	for {
		select {
		case value := <-n.pendingFingerprints:
			values = append(values, value)
		default:
			return values
		}
	}
}

func (n *serveNode) appendFingerprints(ctx context.Context, values []string) {
	data, err := json.Marshal(fleetRecord{Kind: kindFingerprints, Fingerprints: values})
	if err != nil {
		return
	}
	_, err = n.platform.log.Append(ctx, port.StreamFleet, []port.Record{{ID: uuid.NewString(), Data: data}})
	if err != nil {
		n.log.Warn("crash fingerprints not written to the log, only announced to peers", "error", err)
	}
}
