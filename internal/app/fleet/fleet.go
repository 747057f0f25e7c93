// Package fleet connects a router with the other routers: it polls the VM
// list, exchanges gossip with one neighbour a second, forwards urgent updates
// immediately, and announces planned stops.
package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// reportTTL is how long the last report of a peer stays valid. Neighbours
	// report at least every 8 s.
	reportTTL = 30 * time.Second
	// defaultListInterval is the mean time between polls of a short VM list by
	// one router.
	defaultListInterval = 5 * time.Second
	// shortListBytes is the size of a list of about 110 VMs.
	shortListBytes = 16 << 10
	// listBytesPerSecond bounds the poll traffic of one router: each poll
	// transfers the whole list, and a leaving target found by one router is
	// announced to all others.
	listBytesPerSecond = 150
	// maxListIntervalPerRouter, multiplied by the number of routers, bounds the
	// poll interval, so that the fleet as a whole polls at least every 10 s.
	maxListIntervalPerRouter = 10 * time.Second
	// vmBytes is the encoded size of a VM in the list without its strings.
	vmBytes = 95
	// maxSummaryBytes bounds a complete hot-prefix summary.
	maxSummaryBytes = 256 << 10
)

// ErrNoPeer means that no other router could be reached.
var ErrNoPeer = eris.New("no other router is reachable")

// Sources provide the local values sent in exchanges. They are called once or
// twice a second and may be nil.
type Sources struct {
	ConfigOffset func() port.Offset
	// InFlight returns the requests in flight for each target.
	InFlight func() map[string]int
	// Demand returns the demand of each client account.
	Demand func() map[string]float64
	// SummaryChanges returns at most maxBytes of the changes to the hot-prefix
	// summary. Each result is sent to one peer and may be lost.
	SummaryChanges func(maxBytes int) []byte
	// Summary returns at most maxBytes of the hot-prefix summary.
	Summary func(maxBytes int) []byte
	// Records reads log records retained by this router, for other routers
	// that cannot read the log.
	Records func(ctx context.Context, stream string, from port.Offset, limit int) (port.Batch, error)
}

// Callbacks receive updates from other routers. They may be nil, are called
// without locks held, and must not block.
type Callbacks struct {
	// OnPeerInFlight receives the in-flight counts of a peer, or nil when its
	// last report has expired.
	OnPeerInFlight func(peer string, inFlight map[string]int)
	// OnFingerprints receives fingerprints that are new to this router, and all that a
	// snapshot holds.
	OnFingerprints func(fingerprints []port.Fingerprint)
	// OnSummary receives a complete or incremental hot-prefix summary.
	OnSummary func(peer string, summary []byte)
	// OnTargets receives target marks that are new to this router, from any
	// source.
	OnTargets func(marks []port.TargetMark)
	// OnRouters receives the other routers after a change, at most once a
	// second.
	OnRouters func(routers []membership.Router)
	// OnStarted is called for a request with a long prompt that a peer sent to
	// a target.
	OnStarted func(target string, tokens int)
	// OnLoading is called for a target that loads new weights, or has loaded them,
	// on the order of a peer.
	OnLoading func(l port.TargetLoading)
	// OnRate is called for the rate of a target that a peer announces.
	OnRate func(r port.TargetRate)
	// OnDraw answers a peer that asks for tokens of client accounts.
	OnDraw func(d allotment.Draw) allotment.Answer
	// OnConfigOffset receives the config offset that a peer has applied.
	OnConfigOffset func(peer string, offset port.Offset)
}

// Options configures a Fleet.
type Options struct {
	// Self is the router's own entry; see membership.New for the incarnation.
	Self port.Member
	// Seeds are addresses of routers to contact when the VM list has none.
	Seeds []string
	// Clock defaults to the system clock, Rand to a randomly seeded source.
	Clock  port.Clock
	Rand   *rand.Rand
	Peer   port.Peer
	VMList port.VMList
	Logger *slog.Logger
	// ListInterval is the mean time between two polls of a short VM list; long
	// lists are polled less often. 0: 5 s.
	ListInterval time.Duration
	// ListIntervalPerRouter raises ListInterval to this time for each router, which
	// bounds the polls of the whole fleet. 0: not raised.
	ListIntervalPerRouter time.Duration
	// MaxExchangeBytes bounds the encoded size of one message of an exchange.
	// 0: derived from the size of the fleet.
	MaxExchangeBytes int
	Sources          Sources
	Callbacks        Callbacks
}

// Stats counts exchanges, urgent messages and list polls.
type Stats struct {
	Exchanges        uint64
	FailedExchanges  uint64
	UrgentMessages   uint64
	ListPolls        uint64
	FailedListPolls  uint64
	ExchangesHandled uint64
}

// Fleet is a router's view of the fleet and its message loops. It implements
// port.PeerHandler.
type Fleet struct {
	o      Options
	urgent chan struct{}
	// asyncCalls is the number of messages of sendAsync in flight.
	asyncCalls atomic.Int64
	// reservations holds the reservations of targets that this router arbitrates.
	reservations *retry.Reservations

	// reconnected holds a peer that is in contact again.
	reconnected chan membership.Peer

	mu sync.Mutex
	// failing holds the peers whose last exchange failed.
	failing map[string]contactFailure
	view    *membership.View
	reports map[string]report
	stats   Stats
	// listFailing is whether the last poll failed, as logged.
	listFailing bool
	// notified is the state last passed to OnRouters.
	notified notifiedState
	// listBytes is the size of the last VM list.
	listBytes int
}

// notifiedState identifies a state of the routers to detect changes.
type notifiedState struct {
	version  uint64
	isolated bool
}

// report holds the values of the last regular message of a peer.
type report struct {
	at           time.Time
	configOffset port.Offset
	// demand is by client account and immutable.
	demand map[string]float64
}

// New returns a Fleet that knows only itself and its seeds.
func New(o Options) *Fleet {
	if o.Clock == nil {
		o.Clock = port.SystemClock{}
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.ListInterval <= 0 {
		o.ListInterval = defaultListInterval
	}
	return &Fleet{
		o:            o,
		urgent:       make(chan struct{}, 1),
		reconnected:  make(chan membership.Peer, 1),
		failing:      map[string]contactFailure{},
		view:         membership.New(o.Clock.Now(), o.Self, o.Seeds, rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64()))),
		reports:      map[string]report{},
		reservations: retry.NewReservations(),
	}
}

// Self returns the router's own entry.
func (f *Fleet) Self() port.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Self()
}

// Routers returns the other routers, sorted by name. It copies the list; use
// OnRouters on the request path instead.
func (f *Fleet) Routers() []membership.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Routers(f.o.Clock.Now())
}

// LeavingTargets returns the targets that must not receive new work.
func (f *Fleet) LeavingTargets() []port.TargetMark {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.LeavingTargets(f.o.Clock.Now())
}

// IsLeaving reports whether the target must not receive new work. If inc is
// set, marks of other incarnations are ignored.
func (f *Fleet) IsLeaving(target string, inc port.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.IsLeaving(target, inc)
}

// Demand returns the demand of each router with a valid report, by client
// account. The inner maps are shared because Demand is called for every
// request; the caller must not modify them.
func (f *Fleet) Demand() map[string]map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]map[string]float64, len(f.reports))
	for peer, r := range f.reports {
		out[peer] = r.demand
	}
	return out
}

// Stats returns the counters.
func (f *Fleet) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// MarkLeaving records direct evidence that a target is leaving and announces
// it immediately. An empty incarnation matches any.
func (f *Fleet) MarkLeaving(target string, inc port.Incarnation) {
	f.update(func(now time.Time) { f.view.MarkLeaving(now, target, inc) })
}

// MarkReturned records direct evidence that a marked target is running again.
func (f *Fleet) MarkReturned(target string) {
	f.update(func(now time.Time) { f.view.MarkReturned(now, target) })
}

// ReportFingerprint announces the fingerprint of a request that crashes
// targets.
func (f *Fleet) ReportFingerprint(value string) {
	f.update(func(now time.Time) { f.view.AddFingerprint(now, value) })
}

// update changes the view and wakes the urgent loop if there are urgent updates.
func (f *Fleet) update(change func(now time.Time)) {
	f.mu.Lock()
	change(f.o.Clock.Now())
	urgent := f.view.HasUrgent()
	f.mu.Unlock()
	if urgent {
		f.wakeUrgent()
	}
}

func (f *Fleet) wakeUrgent() {
	select {
	case f.urgent <- struct{}{}:
	default:
	}
}
