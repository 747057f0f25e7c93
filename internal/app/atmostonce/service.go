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
	// MaxStoredBody is the largest body retained for repeated requests, in bytes.
	MaxStoredBody = 64 << 10
	// maxStoredHeaders bounds the retained headers, in bytes.
	maxStoredHeaders = 16 << 10
	// clockSkew is the tolerated difference between the clocks of callers,
	// routers and the log.
	clockSkew = 5 * time.Minute

	defaultRetention        = 7 * 24 * time.Hour
	defaultAppendsPerSecond = 20
	// defaultMaxBytes is half of the 128 MB of control memory of a node.
	defaultMaxBytes = 64 << 20
)

// Causes of the errors returned by Run.
var (
	ErrLogUnreadable      = eris.New("the ledger cannot be read")
	ErrLedgerFull         = eris.New("the ledger holds too many unexpired keys")
	ErrDeadlinePassed     = eris.New("the deadline passed before the dispatch")
	ErrCallerDisconnected = eris.New("the caller gave up before the dispatch")
	ErrNoOutcome          = eris.New("another attempt has no known outcome")
	ErrKeyClosed          = eris.New("an earlier request of the key was answered as not run")
	ErrStopped            = eris.New("the router is stopping")
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
	// MaxBytes bounds the memory of unexpired keys; above it, new keys are
	// refused. Bodies and headers of outcomes take a quarter of it at most. 0: 64 MiB.
	MaxBytes int
	// Clock is used for deadlines and ages. Nil: the system clock.
	Clock port.Clock
	// NewID generates attempt ids. Nil: UUIDv7.
	NewID func() string
	// Rand returns values in [0,1) for jitter. Nil: math/rand/v2.
	Rand func() float64
	// Logger receives outages and malformed records. Nil: slog.Default.
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

// Service implements Runner on the ledger stream of the platform log.
type Service struct {
	o         Options
	appender  *appender
	stopped   chan struct{} // closed when Follow has ended
	readGrace time.Duration // of the follower's next read

	mu    sync.Mutex
	state *ledger.State
	// epoch counts the rebuilds of the state after records expired unread; calls
	// of an earlier epoch are not dispatched.
	epoch    int
	caughtUp bool             // the end of the stream was read in this epoch
	healthy  bool             // the last read of the log succeeded
	calls    map[string]*call // by attempt
	running  map[string]bool  // attempts that were sent and have not returned
	waiting  map[ledger.Key]map[*call]struct{}
	// unconfirmed holds the outcomes of this router's attempts that were not yet
	// read back.
	unconfirmed map[ledger.Key]unconfirmedOutcome
	// unconfirmedBytes is the sum of their bodies and headers.
	unconfirmedBytes int
}

var _ Runner = (*Service)(nil)

// New returns a Service. Run completes calls only while Follow is running.
func New(o Options) *Service {
	o.fill()
	return &Service{
		o:           o,
		appender:    newAppender(o),
		stopped:     make(chan struct{}),
		readGrace:   minReadGrace,
		state:       ledger.NewState(1),
		healthy:     true,
		calls:       map[string]*call{},
		running:     map[string]bool{},
		waiting:     map[ledger.Key]map[*call]struct{}{},
		unconfirmed: map[ledger.Key]unconfirmedOutcome{},
	}
}

// Follow reads the stream, appends records and carries entries forward until the
// context ends. It must be called once.
func (s *Service) Follow(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.appender.run(ctx) })
	wg.Go(func() { s.carryLoop(ctx) })
	s.follow(ctx)
	close(s.stopped)
	wg.Wait()
	return ctx.Err()
}

// Flush waits until all queued records are in the log. A planned stop calls it
// after the last request and before it ends Follow.
func (s *Service) Flush(ctx context.Context) error { return s.appender.flush(ctx) }
