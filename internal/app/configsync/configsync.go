// Package configsync follows the configuration stream of the platform log,
// maintains the compiled configuration, and publishes changes and snapshots.
// While the log cannot be read, it pulls the records from a peer.
package configsync

import (
	"context"
	"crypto/ed25519"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	readLimit = 500
	// readWait and minReadGrace bound the delay of changes by an unresponsive
	// connection to 3 s, within the 5 s in which a change must be in force.
	readWait     = 2 * time.Second
	minReadGrace = time.Second
	// maxReadGrace bounds the time that a read of a slow log may take beyond
	// readWait.
	maxReadGrace = 16 * time.Second
	// pullTimeout bounds one read from a peer.
	pullTimeout = time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 2 * time.Second
	// defaultRetention is the default of the settings field retention_s.
	defaultRetention = 7 * 24 * time.Hour
)

// PeerReader reads records of a stream from another router. A batch may start
// with a snapshot record at offset 0 if the peer no longer retains the requested
// records.
type PeerReader interface {
	PullRecords(ctx context.Context, stream string, from port.Offset, limit int) (port.Batch, error)
}

// Options configures a Sync.
type Options struct {
	Log port.Log
	// Peer is the fallback while the log cannot be read. Nil: none.
	Peer PeerReader
	// SystemKey is the public key of team system.
	SystemKey ed25519.PublicKey
	// Retention is how long the log keeps records. 0: 7 days.
	Retention time.Duration
	// Clock is compared with the append times of records. Nil: the system clock.
	Clock port.Clock
	// Rand returns values in [0,1) for jitter. Nil: math/rand/v2.
	Rand func() float64
	// Logger receives refused records and outages. Nil: slog.Default.
	Logger *slog.Logger
}

// Sync follows the config stream. It implements config.Source and PeerReader.
type Sync struct {
	o       Options
	current atomic.Pointer[config.Snapshot]
	ready   chan struct{} // closed when the configuration is applied

	readGrace time.Duration // of the follower's next read; only the follower uses it

	mu       sync.Mutex
	state    *config.State
	changed  chan struct{} // closed and replaced after each change below
	history  history
	retained recordWindow
	pending  map[*publication]struct{}
	// reads counts reads of the log; endRead is the number of the last read that
	// reached the end of the stream.
	reads, endRead uint64
	behind         bool // the last read returned records
	snapshots      snapshotSchedule
}

// New returns a Sync with an empty configuration until Run has read the stream.
func New(o Options) *Sync {
	if o.Retention <= 0 {
		o.Retention = defaultRetention
	}
	if o.Clock == nil {
		o.Clock = port.SystemClock{}
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	s := &Sync{
		o:         o,
		ready:     make(chan struct{}),
		readGrace: minReadGrace,
		state:     config.NewState(o.SystemKey),
		changed:   make(chan struct{}),
		pending:   map[*publication]struct{}{},
		behind:    true,
	}
	s.snapshots.chooseInterval(o.Rand())
	s.current.Store(s.state.Compile())
	return s
}

// Current implements config.Source.
func (s *Sync) Current() *config.Snapshot { return s.current.Load() }

// Ready is closed when the configuration of the log or of a peer is applied.
func (s *Sync) Ready() <-chan struct{} { return s.ready }

// Run follows the stream and appends snapshots until the context ends.
func (s *Sync) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.snapshotLoop(ctx) })
	s.follow(ctx)
	wg.Wait()
	return ctx.Err()
}

// WaitApplied waits until the record at the offset is applied.
func (s *Sync) WaitApplied(ctx context.Context, offset port.Offset) error {
	return s.waitFor(ctx, func() bool { return s.state.Applied() >= offset })
}

// History returns the decisions on changes of a path since this process started,
// oldest first. Only the most recent decisions of all paths are retained.
func (s *Sync) History(path string) []config.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.of(path)
}

// waitFor waits until the condition holds. The condition is evaluated with s.mu
// held.
func (s *Sync) waitFor(ctx context.Context, condition func() bool) error {
	for {
		s.mu.Lock()
		done, changed := condition(), s.changed
		s.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// notify wakes all waiters. s.mu must be held.
func (s *Sync) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Sync) markReady() {
	select {
	case <-s.ready:
	default:
		close(s.ready)
	}
}
