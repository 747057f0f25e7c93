// Package gatewaysync keeps a gateway's configuration and target entries up to date: it
// follows the operator's stream and the targets' entries on the platform's log.
package gatewaysync

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// operatorWait is how long a read of the operator's stream waits for new records.
	// Each response verifies the configuration; keys must be verified several times
	// within the 5 s after which a revoked key must not be served.
	operatorWait = 1200 * time.Millisecond
	// maxTargetsInterval is the upper bound of the time between two reads of the targets'
	// entries. leavingShare is the number of reads within the time after which a leaving
	// target must get no more requests.
	maxTargetsInterval = 800 * time.Millisecond
	leavingShare       = 3
	// retryBase is the mean pause after a failed read.
	retryBase = 150 * time.Millisecond
	// peerTimeout bounds the read from other routers.
	peerTimeout = 500 * time.Millisecond
)

// Follower reads one keyed stream and applies its records.
type Follower struct {
	Log    port.KeyedLog
	Name   string
	Logger *slog.Logger
	// Clock also counts the time for which the VM was suspended.
	Clock port.Clock
	// Wait is how long a read waits for new records, Interval the pause between reads.
	Wait     time.Duration
	Interval time.Duration
	// Apply is called with each record; a Value of nil removes the key.
	Apply func(r port.KeyedRecord)
	// Reset is called after a full load with the complete set of keys.
	Reset func(keys map[string]bool)
	// OnVerified is called with a time at which the applied records were the newest.
	OnVerified func(at time.Time)

	// Peers requests the records from the offset on from other routers; nil: no peers.
	Peers func(ctx context.Context, stream string, from port.Offset) []port.Batch
	// Relay requests the records from a router that reads the log on behalf of its
	// neighbours; nil: this router always reads the log itself.
	// HasFollowers reports whether other routers read from this one.
	Relay        Relay
	HasFollowers func() bool

	mu      sync.Mutex
	next    port.Offset
	loaded  bool
	logLost bool
	// newest and verified are served to other routers.
	newest   map[string]retained
	verified time.Time
	// since is the offset from which on newest includes removed keys.
	since port.Offset
}

// Operator configures the follower for the operator's stream and returns it.
func Operator(s *Follower) *Follower {
	s.Name, s.Wait = port.StreamOperator, operatorWait
	return s
}

// TargetsInterval returns the time between two reads of the targets' entries. leaving is
// the time after which a leaving target must get no more requests.
func TargetsInterval(leaving time.Duration) time.Duration {
	return min(maxTargetsInterval, leaving/leavingShare)
}

// TargetsStaleness returns the maximum age of the known target entries while the log is
// available: the interval of a peer's reads and that of the requests to the peer.
func TargetsStaleness(leaving time.Duration) time.Duration {
	return TargetsInterval(leaving) + relayInterval
}

// Targets configures the follower for the targets' entries and returns it.
func Targets(s *Follower, interval time.Duration) *Follower {
	s.Name, s.Interval = port.StreamTargets, interval
	return s
}

// Run follows the stream until the context ends.
func (s *Follower) Run(ctx context.Context) error {
	for {
		pause := s.Interval
		if s.readRelayed(ctx) {
			s.setLost(false, nil)
			pause = relayInterval
		} else if err := s.read(ctx); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			s.setLost(true, err)
			s.readFromPeers(ctx)
			pause = time.Duration((0.5 + rand.Float64()) * float64(retryBase))
		} else {
			s.setLost(false, nil)
		}
		if err := ctxtime.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// setLost logs each change of the log's availability once.
func (s *Follower) setLost(lost bool, err error) {
	if s.logLost == lost {
		return
	}
	s.logLost = lost
	if lost {
		s.Logger.Warn("dependency lost", "stream", s.Name, "error", err.Error())
		return
	}
	s.Logger.Info("dependency regained", "stream", s.Name, "next", s.next)
}

func (s *Follower) read(ctx context.Context) error {
	at := s.Clock.Now()
	if !s.loaded {
		return s.load(ctx, at)
	}
	batch, err := s.Log.Changes(ctx, s.Name, s.next, s.wait())
	var expired *port.ExpiredError
	var invalid *port.BadRequestError
	if errors.As(err, &expired) || errors.As(err, &invalid) {
		s.Logger.Info("log history expired", "stream", s.Name, "next", s.next, "why", err.Error())
		s.loaded = false
		return s.load(ctx, s.Clock.Now())
	}
	if err != nil {
		return err
	}
	s.apply(batch, at)
	return nil
}

// load reads the newest record of each key.
func (s *Follower) load(ctx context.Context, at time.Time) error {
	batch, err := s.Log.Newest(ctx, s.Name)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.newest, s.since = nil, batch.Next
	s.mu.Unlock()
	s.apply(batch, at)
	if s.Reset != nil {
		keys := map[string]bool{}
		for _, r := range batch.Records {
			keys[r.Key] = true
		}
		s.Reset(keys)
	}
	s.loaded = true
	return nil
}

func (s *Follower) apply(batch port.KeyedBatch, at time.Time) {
	for _, r := range batch.Records {
		s.Apply(r)
	}
	s.retain(batch, at)
	if s.OnVerified != nil {
		s.OnVerified(at)
	}
}

// retain stores the newest records to serve them to other routers.
func (s *Follower) retain(batch port.KeyedBatch, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = batch.Next
	if s.Peers == nil && s.Relay == nil {
		return
	}
	if s.newest == nil {
		s.newest = map[string]retained{}
	}
	for _, r := range batch.Records {
		s.newest[r.Key] = retained{value: r.Value, offset: batch.Next - 1}
	}
	if at.After(s.verified) {
		s.verified = at
	}
}

// readFromPeers applies the newest records of other routers while this router cannot read
// the log. A peer's verification time is accepted: the age of its records is counted from
// before the request, so that nothing counts as newer than it is.
func (s *Follower) readFromPeers(ctx context.Context) {
	if s.Peers == nil {
		return
	}
	at := s.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var best *port.Batch
	for _, b := range s.Peers(ctx, s.Name, s.offset()) {
		if b.Next >= s.offset() && (best == nil || b.Age < best.Age) {
			best = &b
		}
	}
	if best == nil {
		return
	}
	batch := fromPeer(*best)
	s.Logger.Info("records from a peer", "stream", s.Name, "records", len(batch.Records), "next", best.Next, "age_ms", best.Age.Milliseconds())
	s.apply(batch, at.Add(-best.Age))
}

func (s *Follower) offset() port.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// Records returns the records from the offset on to another router that does not or cannot
// read the log. It fails with an ExpiredError if keys may have been removed without either
// router having read the removal.
func (s *Follower) Records(_ context.Context, stream string, from port.Offset, _ int) (port.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stream != s.Name || s.verified.IsZero() {
		return port.Batch{}, &port.NotFoundError{Peer: "router", Name: stream}
	}
	if s.Reset != nil && from < s.since {
		return port.Batch{}, &port.ExpiredError{Stream: stream, From: from, Oldest: s.since}
	}
	b := port.Batch{Next: s.next, Age: s.Clock.Now().Sub(s.verified)}
	for key, k := range s.newest {
		if k.offset >= from {
			b.Records = append(b.Records, port.Record{Offset: k.offset, ID: key, Data: k.value})
		}
	}
	return b, nil
}
