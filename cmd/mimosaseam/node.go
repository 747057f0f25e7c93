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

	"mimosaseam.example/mimosaseam/internal/adapter/callerhttp"
	"mimosaseam.example/mimosaseam/internal/adapter/enginehttp"
	"mimosaseam.example/mimosaseam/internal/adapter/httpconn"
	"mimosaseam.example/mimosaseam/internal/adapter/peergrpc"
	"mimosaseam.example/mimosaseam/internal/adapter/servicehttp"
	"mimosaseam.example/mimosaseam/internal/adapter/telemetry"
	"mimosaseam.example/mimosaseam/internal/adapter/tlsconfig"
	"mimosaseam.example/mimosaseam/internal/app/atmostonce"
	"mimosaseam.example/mimosaseam/internal/app/completions"
	"mimosaseam.example/mimosaseam/internal/app/configsync"
	"mimosaseam.example/mimosaseam/internal/app/fleet"
	"mimosaseam.example/mimosaseam/internal/app/follow"
	"mimosaseam.example/mimosaseam/internal/app/observe"
	"mimosaseam.example/mimosaseam/internal/app/orders"
	"mimosaseam.example/mimosaseam/internal/app/shares"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/settings"
)

const (
	// indexBytesPerBlock is the memory of the prefix index for each block; a full
	// index of 300,000 blocks measured 18.1 MiB.
	indexBytesPerBlock = 64
	// blocksPerSegment is the mean length of a segment that the index allows for.
	blocksPerSegment = 6
)

// node holds the parts of one router process.
type node struct {
	settings settings.Settings
	log      *slog.Logger
	traces   telemetry.Traces
	metrics  *telemetry.Metrics
	started  time.Time
	holder   string

	platform     platformClients
	engine       *enginehttp.Client
	service      *servicehttp.Client
	peers        *peergrpc.Client
	peerCreds    credentials.TransportCredentials
	config       *configsync.Sync
	ledger       *atmostonce.Service
	placer       *placement.Policy
	targets      *completions.Targets
	fingerprints *retry.CrashTracker
	shares       *shares.Shares
	vms          *listedVMs
	fleet        *fleet.Fleet
	orders       *orders.Manager
	observer     *observe.Observer
	followers    []*follow.Follower
	router       *completions.Router
	callers      *callerhttp.Server

	// evidence holds crash evidence that is not in the log yet.
	evidence chan string

	// joined is closed once the hot prefixes of a peer or of the log are taken,
	// or neither can be had.
	joined chan struct{}

	mu         sync.Mutex
	draining   bool
	logContact time.Time
	offsets    map[string]port.Offset
}

// newNode builds the parts without starting any.
func newNode(ctx context.Context, s settings.Settings, logger *slog.Logger) (*node, error) {
	n := &node{settings: s, log: logger, started: time.Now(), offsets: map[string]port.Offset{},
		evidence: make(chan string, newFingerprints), joined: make(chan struct{})}
	n.holder = s.VM.Name + "/" + strconv.FormatInt(n.started.UnixMilli(), 10)
	n.metrics = telemetry.NewMetrics("mimosaseam", "mimosaseam_durations")
	n.fingerprints = retry.NewCrashTracker()
	n.fingerprints.SetReport(n.reportFingerprint)
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

func (n *node) buildClients() error {
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

// buildState builds what follows the log and what learns from traffic.
func (n *node) buildState() {
	s := n.settings
	n.config = configsync.New(configsync.Options{
		Log: n.platform.log, Peer: peerRecords{n}, SystemKey: systemKey(s),
		Retention: s.Platform.Retention(), Logger: n.log,
	})
	n.ledger = atmostonce.New(atmostonce.Options{
		Log: n.platform.log, Router: n.holder, Retention: s.Platform.Retention(),
		AppendsPerSecond: s.Platform.AppendsPerSecond, Logger: n.log,
	})
	seed := uint64(s.Resources.Seed)
	if seed == 0 {
		seed = completions.SystemRandom{}.Uint64()
	}
	placerSettings := placement.DefaultSettings()
	placerSettings.Seed, placerSettings.Region = seed, s.VM.Region
	placerSettings.AvailabilityZone = s.VM.AvailabilityZone
	placerSettings.MaxBlocks = s.Resources.IndexBytes / indexBytesPerBlock
	placerSettings.MaxSegments = placerSettings.MaxBlocks / blocksPerSegment
	n.placer = placement.New(placerSettings)
	n.targets = completions.NewTargets(port.SystemClock{}, n.placer)
	n.orders = orders.New(orders.Deps{
		Log: n.platform.log, Engine: n.engine, Weights: n.platform.weights, Clock: port.SystemClock{},
		Logger: n.log, Holder: n.holder, Desired: n.desired,
	})
	n.followers = []*follow.Follower{
		{Log: n.platform.log, Stream: port.StreamFleet, Logger: n.log, Handle: n.observeFleetRecord, OnContact: n.noteLogContact},
		{Log: n.platform.log, Stream: port.StreamOrders, Logger: n.log, Handle: n.orders.Observe, Tail: orders.Tail},
	}
	n.observer = observe.New(observe.Deps{
		Engine: n.engine, Source: n.config, Placer: n.placer, Targets: n.targets,
		Clock: port.SystemClock{}, Logger: n.log,
		EventBytesPerSecond: s.Resources.EventBytesPerS, Router: s.VM.Name,
	})
}

func (n *node) buildServing() {
	n.router = completions.New(completions.Deps{
		Engine: n.engine, Service: n.service, Placer: n.placer, Runner: n.ledger, Source: n.config,
		Targets: n.targets, Shares: n.shares, CrashTracker: n.fingerprints,
		Logger: n.log, Tracer: n.traces.Tracer, Metrics: n.metrics,
	})
	c := n.settings.Callers
	n.callers = callerhttp.New(callerhttp.Deps{
		Router: n.router, Source: n.config, Logger: n.log, Tracer: n.traces.Tracer, Metrics: n.metrics,
		Limits: callerhttp.Limits{
			HeaderBytes: c.HeaderBytes, BodyBytes: int64(c.BodyBytes),
			BodyTimeout:  time.Duration(c.ReadTimeoutS) * time.Second,
			WriteTimeout: time.Duration(c.WriteStallS) * time.Second,
			Open:         c.Connections,
		},
	})
}

func (n *node) buildFleet() {
	s := n.settings
	n.vms = &listedVMs{VMList: n.platform.vmList}
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
			OnPeerInFlight: n.takePeerInFlight,
			OnFingerprints: n.takeFingerprints,
			OnSummary:      n.takeSummary,
			OnTargets:      func([]port.TargetMark) { n.refreshLeaving() },
			OnRouters:      n.takeRouters,
			OnConfigOffset: n.takeConfigOffset,
		},
	})
	n.fingerprints.SetArbiter(n.fleet)
	n.shares = shares.New(s.VM.Name, n.fleet.Demand)
}

// peerRecords reads configuration records from other routers.
type peerRecords struct{ n *node }

func (p peerRecords) PullRecords(ctx context.Context, stream string, from port.Offset, limit int) (port.Batch, error) {
	return p.n.fleet.PullRecords(ctx, stream, from, limit)
}

func (n *node) takePeerInFlight(peer string, counts map[string]int) {
	n.placer.ObservePeerInFlight(time.Now(), peer, counts)
	n.shares.SetInFlight(peer, counts)
}

func (n *node) takeSummary(peer string, summary []byte) {
	if err := n.placer.Restore(time.Now(), summary); err != nil {
		n.log.Warn("hot-prefix summary refused", "peer", peer, "error", err)
	}
}

func (n *node) takeRouters(routers []membership.Router) {
	n.shares.SetRouters(routers)
	n.placer.ObserveRouters(n.shares.Routers().Count)
}

func (n *node) takeConfigOffset(peer string, offset port.Offset) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.offsets[peer] = max(n.offsets[peer], offset)
}

// takeFingerprints merges the crash evidence that peers found.
func (n *node) takeFingerprints(values []string) { n.fingerprints.Receive(time.Now(), values) }

// refreshLeaving passes the targets that must get no new work to the router.
func (n *node) refreshLeaving() {
	n.targets.SetLeaving(leavingAddresses(n.fleet.LeavingTargets(), n.vms.addressOf, n.config.Current()))
}

// desired lists what each engine should serve.
func (n *node) desired() []orders.Desired {
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

func (n *node) noteLogContact() {
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

func (n *node) observeFleetRecord(r port.Record) {
	if time.Since(r.AppendedAt) > membership.FingerprintTTL {
		return
	}
	var record fleetRecord
	if json.Unmarshal(r.Data, &record) == nil && record.Kind == kindFingerprints {
		n.takeFingerprints(record.Fingerprints)
	}
}

// newFingerprints bounds the crash evidence waiting to be written to the log.
const newFingerprints = 256

// reportFingerprint tells peers at once, and the log for routers that start later.
func (n *node) reportFingerprint(value string) {
	n.fleet.ReportFingerprint(value)
	select {
	case n.evidence <- value:
	default: // peers know it; only a restart of all routers would miss it
	}
}

// keepFingerprints writes crash evidence to the log, one append for all that waits.
func (n *node) keepFingerprints(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case value := <-n.evidence:
			n.appendFingerprints(ctx, n.withWaiting(value))
		}
	}
}

func (n *node) withWaiting(value string) []string {
	values := []string{value}
	for {
		select {
		case value := <-n.evidence:
			values = append(values, value)
		default:
			return values
		}
	}
}

func (n *node) appendFingerprints(ctx context.Context, values []string) {
	data, err := json.Marshal(fleetRecord{Kind: kindFingerprints, Fingerprints: values})
	if err != nil {
		return
	}
	_, err = n.platform.log.Append(ctx, port.StreamFleet, []port.Record{{ID: uuid.NewString(), Data: data}})
	if err != nil {
		n.log.Warn("crash evidence not written to the log, peers know it", "error", err)
	}
}
