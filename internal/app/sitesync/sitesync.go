// Package sitesync follows what the operator and the targets write on the
// platform's log, and keeps the router's beliefs up to date with it.
package sitesync

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
	// operatorWait is how long a read of the operator's stream waits for news.
	// Each answer verifies the configuration; keys must be verified several times
	// within the 5 s after which one that was taken away must not be served.
	operatorWait = 1200 * time.Millisecond
	// maxTargetsInterval bounds the time between two reads of the targets' entries
	// from above, leavingShare by the time in which a target that leaves must get no
	// more requests.
	maxTargetsInterval = 800 * time.Millisecond
	leavingShare       = 3
	// retryBase is the mean pause after a failed read.
	retryBase = 150 * time.Millisecond
	// peerTimeout bounds the question to other routers.
	peerTimeout = 500 * time.Millisecond
)

// Follower follows one keyed stream.
type Follower struct {
	Log    port.KeyedLog
	Name   string
	Logger *slog.Logger
	// Clock goes on while the VM is suspended.
	Clock port.Clock
	// Wait is how long a read waits for news, Interval the pause between reads.
	Wait     time.Duration
	Interval time.Duration
	// Apply takes one record; a Value of nil removes the key.
	Apply func(r port.KeyedRecord)
	// Reset is told the keys that are all there are.
	Reset func(keys map[string]bool)
	// OnVerified is told a moment at which nothing newer was there.
	OnVerified func(at time.Time)

	// Peers asks other routers for the records from the offset on; nil: none are asked.
	Peers func(ctx context.Context, stream string, from port.Offset) []port.Batch
	// Relay asks a router that reads the log for those around it; nil: each reads itself.
	// Followed reports whether others ask this router.
	Relay        Relay
	HasFollowers func() bool

	mu     sync.Mutex
	next   port.Offset
	loaded bool
	lost   bool
	// newest and verified are what other routers may ask for.
	newest   map[string]kept
	verified time.Time
	// since is the offset from which on removed keys are among newest.
	since port.Offset
}

// Operator returns a follower of the operator's stream.
func Operator(s *Follower) *Follower {
	s.Name, s.Wait = port.StreamOperator, operatorWait
	return s
}

// TargetsInterval is the time between two reads of the targets' entries when a
// target that leaves must get no requests within the bound.
func TargetsInterval(leaving time.Duration) time.Duration {
	return min(maxTargetsInterval, leaving/leavingShare)
}

// TargetsStaleness is how old what is known of the targets can be while the log
// answers: read by a peer, and asked for after that.
func TargetsStaleness(leaving time.Duration) time.Duration {
	return TargetsInterval(leaving) + relayInterval
}

// Targets returns a follower of the targets' entries.
func Targets(s *Follower, interval time.Duration) *Follower {
	s.Name, s.Interval = port.StreamTargets, interval
	return s
}

// Run follows the stream until the context ends.
func (s *Follower) Run(ctx context.Context) error {
	for {
		pause := s.Interval
		if s.relayed(ctx) {
			s.setLost(false, nil)
			pause = relayInterval
		} else if err := s.read(ctx); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			s.setLost(true, err)
			s.askPeers(ctx)
			pause = time.Duration((0.5 + rand.Float64()) * float64(retryBase))
		} else {
			s.setLost(false, nil)
		}
		if err := ctxtime.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// setLost logs the loss and the return of the log once each.
func (s *Follower) setLost(lost bool, err error) {
	if s.lost == lost {
		return
	}
	s.lost = lost
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
		s.Logger.Info("history forgotten", "stream", s.Name, "next", s.next, "why", err.Error())
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
	s.keep(batch, at)
	if s.OnVerified != nil {
		s.OnVerified(at)
	}
}

// keep remembers the newest records for other routers.
func (s *Follower) keep(batch port.KeyedBatch, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = batch.Next
	if s.Peers == nil && s.Relay == nil {
		return
	}
	if s.newest == nil {
		s.newest = map[string]kept{}
	}
	for _, r := range batch.Records {
		s.newest[r.Key] = kept{value: r.Value, offset: batch.Next - 1}
	}
	if at.After(s.verified) {
		s.verified = at
	}
}

// askPeers takes what other routers know of the stream while the log cannot be
// read here. A router that asked the log vouches for the time of its answer:
// its age is counted from before it was asked, so nothing counts as newer than it is.
func (s *Follower) askPeers(ctx context.Context) {
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

// Records answers another router that does not or cannot read the log: what is newer
// than it knows. It fails with an ExpiredError when keys may have been removed that
// neither of the two knows of.
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
