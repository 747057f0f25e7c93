package atmostonce

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/core/ledger"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// MaxStoredBody is the largest body that is kept for repeats, in bytes.
	MaxStoredBody = 64 << 10
	// maxStoredHeaders bounds the kept headers, in bytes.
	maxStoredHeaders = 16 << 10
	// clockSkew is the tolerated difference between the clocks of callers,
	// routers and the log.
	clockSkew = 5 * time.Minute

	defaultRetention        = 7 * 24 * time.Hour
	defaultAppendsPerSecond = 20
	// defaultMaxBytes leaves half of a node's 128 MB of control memory.
	defaultMaxBytes = 64 << 20
)

// The reasons inside the errors of Run.
var (
	ErrLogUnreadable  = eris.New("the ledger cannot be read")
	ErrLedgerFull     = eris.New("the ledger holds too many unexpired keys")
	ErrDeadlinePassed = eris.New("the deadline passed before the dispatch")
	ErrCallerGone     = eris.New("the caller gave up before the dispatch")
	ErrNoOutcome      = eris.New("another attempt has no known outcome")
	ErrKeyClosed      = eris.New("an earlier request of the key was answered as not run")
	ErrStopped        = eris.New("the router is stopping")
)

// Options configures a Service.
type Options struct {
	Log port.Log
	// Router names this router in records.
	Router string
	// Retention is how long the log keeps records. 0: 7 days.
	Retention time.Duration
	// AppendsPerSecond bounds this router's appends. 0: 20.
	AppendsPerSecond int
	// MaxBytes bounds the memory of unexpired keys; above it new keys are
	// refused. 0: 64 MiB.
	MaxBytes int
	// Clock is checked against deadlines and ages. Nil: the system clock.
	Clock port.Clock
	// NewID makes attempt ids. Nil: UUIDv7.
	NewID func() string
	// Rand draws from [0,1) for jitter. Nil: math/rand/v2.
	Rand func() float64
	// Logger takes outages and malformed records. Nil: slog.Default.
	Logger *slog.Logger
}

func (o *Options) fill() {
	if o.Retention <= 0 {
		o.Retention = defaultRetention
	}
	if o.AppendsPerSecond <= 0 {
		o.AppendsPerSecond = defaultAppendsPerSecond
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = defaultMaxBytes
	}
	if o.Clock == nil {
		o.Clock = port.SystemClock{}
	}
	if o.NewID == nil {
		o.NewID = func() string { return uuid.Must(uuid.NewV7()).String() }
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
}

// Service is the Runner over the ledger stream of the platform log.
type Service struct {
	o        Options
	appender *appender
	stopped  chan struct{} // closed when Follow has ended
	grace    time.Duration // of the follower's next read

	mu    sync.Mutex
	state *ledger.State
	// epoch counts the times that the state was built anew because records
	// expired unread; calls of an earlier epoch are not dispatched.
	epoch    int
	caughtUp bool             // the end of the stream was read in this epoch
	healthy  bool             // the last read of the log succeeded
	calls    map[string]*call // by attempt
	running  map[string]bool  // attempts that were sent and have not returned
	waiting  map[ledger.Key]map[*call]struct{}
	// answers holds outcomes that this router knows and has not read back yet.
	answers map[ledger.Key]answer
}

var _ Runner = (*Service)(nil)

// New returns a Service; it answers once Follow runs.
func New(o Options) *Service {
	o.fill()
	return &Service{
		o:        o,
		appender: newAppender(o),
		stopped:  make(chan struct{}),
		grace:    minReadGrace,
		state:    ledger.NewState(1),
		healthy:  true,
		calls:    map[string]*call{},
		running:  map[string]bool{},
		waiting:  map[ledger.Key]map[*call]struct{}{},
		answers:  map[ledger.Key]answer{},
	}
}

// Follow reads the stream, sends appends and carries entries forward until the
// context ends. Call it once.
func (s *Service) Follow(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.appender.run(ctx) })
	wg.Go(func() { s.keep(ctx) })
	s.follow(ctx)
	close(s.stopped)
	wg.Wait()
	return ctx.Err()
}

// Flush waits until all records that were answered for are in the log. A
// planned stop calls it after the last request and before it ends Follow.
func (s *Service) Flush(ctx context.Context) error { return s.appender.flush(ctx) }
