// Package fleet keeps a router in touch with the other routers: it polls the
// VM list, exchanges once a second with one neighbour, passes urgent news on
// at once, and announces planned stops.
package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// reportTTL is how long the last report of a peer counts. Neighbours report
	// every 8 s at the latest.
	reportTTL = 30 * time.Second
	// defaultListInterval is the mean time between polls of a short VM list by
	// one router.
	defaultListInterval = 5 * time.Second
	// shortListBytes is the size of a list of about 110 VMs.
	shortListBytes = 16 << 10
	// listBytesPerSecond bounds what one router spends on polls: the list comes
	// as a whole, and one router's poll tells all others what leaves.
	listBytesPerSecond = 150
	// maxListIntervalPerRouter keeps the fleet together at one poll in 10 s.
	maxListIntervalPerRouter = 10 * time.Second
	// vmBytes is the size of a VM in the list apart from its strings.
	vmBytes = 95
	// maxSummaryBytes bounds a whole hot-prefix summary.
	maxSummaryBytes = 256 << 10
)

// ErrNoPeer means that no other router could be asked.
var ErrNoPeer = eris.New("no other router is reachable")

// Sources give the local values that exchanges carry. They are called once or
// twice a second and may be nil.
type Sources struct {
	ConfigOffset func() port.Offset
	// InFlight returns the requests in flight for each target.
	InFlight func() map[string]int
	// Demand returns the demand of each client account.
	Demand func() map[string]float64
	// SummaryChanges returns at most maxBytes of the changed part of the
	// hot-prefix summary. Each result reaches one peer and may be lost.
	SummaryChanges func(maxBytes int) []byte
	// Summary returns at most maxBytes of the hot-prefix summary.
	Summary func(maxBytes int) []byte
	// Records reads log records that this router keeps; other routers that
	// cannot read the log pull them.
	Records func(ctx context.Context, stream string, from port.Offset, limit int) (port.Batch, error)
}

// Callbacks receive what other routers tell. They may be nil, are called
// without locks held, and must not block.
type Callbacks struct {
	// OnPeerInFlight takes the in-flight counts of a peer; nil when its last
	// report is too old.
	OnPeerInFlight func(peer string, inFlight map[string]int)
	// OnFingerprints takes fingerprints that are new to this router.
	OnFingerprints func(values []string)
	// OnSummary takes a hot-prefix summary or a changed part of one.
	OnSummary func(peer string, summary []byte)
	// OnTargets takes marks that are new to this router, from any source.
	OnTargets func(marks []port.TargetMark)
	// OnRouters takes the other routers after a change, at most once a second.
	OnRouters func(routers []membership.Router)
	// OnStarted takes a request with a long prompt that a peer sent to a target.
	OnStarted func(target string, tokens int)
	// OnConfigOffset takes the config offset that a peer has applied.
	OnConfigOffset func(peer string, offset port.Offset)
}

// Options configures a Fleet.
type Options struct {
	// Self is the router's own entry; see membership.New for the incarnation.
	Self port.Member
	// Seeds are addresses of routers to ask when the VM list has none.
	Seeds []string
	// Clock is the system clock when nil, Rand randomly seeded.
	Clock  port.Clock
	Rand   *rand.Rand
	Peer   port.Peer
	VMList port.VMList
	Logger *slog.Logger
	// ListInterval is the mean time between two polls of the VM list; it grows
	// with the size of the list. 0: 5 s.
	ListInterval time.Duration
	// MaxExchangeBytes bounds the encoded size of one message of an exchange.
	// 0: by the size of the fleet.
	MaxExchangeBytes int
	Sources          Sources
	Callbacks        Callbacks
}

// Stats counts what the loops did.
type Stats struct {
	Exchanges        uint64
	FailedExchanges  uint64
	UrgentMessages   uint64
	ListPolls        uint64
	FailedListPolls  uint64
	ExchangesHandled uint64
}

// Fleet is a router's part in the fleet. It implements port.PeerHandler.
type Fleet struct {
	o      Options
	urgent chan struct{}
	// workCalls counts the messages about work under way.
	workCalls atomic.Int64
	// suspects are the targets that this router decides for.
	suspects *retry.Reservations

	mu      sync.Mutex
	view    *membership.View
	reports map[string]report
	stats   Stats
	// listFailing and shown hold the last state that was logged or passed on.
	listFailing bool
	shown       shown
	// listBytes is the size of the last VM list.
	listBytes int
}

// shown is the state of the routers that OnRouters received last.
type shown struct {
	version  uint64
	isolated bool
}

// report is the last that a peer told of itself.
type report struct {
	at           time.Time
	configOffset port.Offset
	// demand is by client account and is not changed.
	demand map[string]float64
}

// New returns a Fleet that knows itself and its seeds.
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
		o:        o,
		urgent:   make(chan struct{}, 1),
		view:     membership.New(o.Clock.Now(), o.Self, o.Seeds, rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64()))),
		reports:  map[string]report{},
		suspects: retry.NewReservations(),
	}
}

// Self returns the router's own entry.
func (f *Fleet) Self() port.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Self()
}

// Routers returns the other routers in order of name. It copies the list;
// callers on the path of requests use OnRouters instead.
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

// IsLeaving reports whether the target must not receive new work. With an
// incarnation, marks of other incarnations do not count.
func (f *Fleet) IsLeaving(target string, inc port.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.IsLeaving(target, inc)
}

// Demand returns the demand of each router that reported lately, by client
// account. The caller does not change the inner maps: every request asks, so they
// are not copied.
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

// MarkLeaving records direct evidence that a target leaves and spreads it at
// once. An empty incarnation means any.
func (f *Fleet) MarkLeaving(target string, inc port.Incarnation) {
	f.update(func(now time.Time) { f.view.MarkLeaving(now, target, inc) })
}

// MarkReturned records direct evidence that a marked target runs again.
func (f *Fleet) MarkReturned(target string) {
	f.update(func(now time.Time) { f.view.MarkReturned(now, target) })
}

// ReportFingerprint spreads the fingerprint of a request that crashes targets.
func (f *Fleet) ReportFingerprint(value string) {
	f.update(func(now time.Time) { f.view.AddFingerprint(now, value) })
}

// update changes the view and wakes the urgent loop when there is urgent news.
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
