// Package sitesync follows what the operator and the targets write on the
// platform's log, and keeps the router's beliefs up to date with it.
package sitesync

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// operatorWait is how long a read of the operator's stream waits for news.
	// Each answer verifies the configuration; keys must be verified several times
	// within the 5 s after which one that was taken away must not be served.
	operatorWait = 1200 * time.Millisecond
	// targetsInterval is the time between two reads of the targets' entries. A
	// target that leaves must get no requests 2.5 s after it said so.
	targetsInterval = 800 * time.Millisecond
	// retryBase is the mean pause after a failed read.
	retryBase = 150 * time.Millisecond
)

// Stream follows one keyed stream.
type Stream struct {
	Log    port.KeyedLog
	Name   string
	Logger *slog.Logger
	// Clock goes on while the machine is suspended.
	Clock port.Clock
	// Wait is how long a read waits for news, Interval the pause between reads.
	Wait     time.Duration
	Interval time.Duration
	// Apply takes one record; a Value of nil removes the key.
	Apply func(r port.KeyedRecord)
	// Reset is told the keys that are all there are.
	Reset func(keys map[string]bool)
	// Verified is told a moment at which nothing newer was there.
	Verified func(at time.Time)

	next   port.Offset
	loaded bool
	lost   bool
}

// Operator returns a follower of the operator's stream.
func Operator(s Stream) *Stream {
	s.Name, s.Wait = port.StreamOperator, operatorWait
	return &s
}

// Targets returns a follower of the targets' entries.
func Targets(s Stream) *Stream {
	s.Name, s.Interval = port.StreamTargets, targetsInterval
	return &s
}

// Run follows the stream until the context ends.
func (s *Stream) Run(ctx context.Context) error {
	for {
		pause := s.Interval
		if err := s.read(ctx); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			s.setLost(true, err)
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
func (s *Stream) setLost(lost bool, err error) {
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

func (s *Stream) read(ctx context.Context) error {
	at := s.Clock.Now()
	if !s.loaded {
		return s.load(ctx, at)
	}
	batch, err := s.Log.Changes(ctx, s.Name, s.next, s.Wait)
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
func (s *Stream) load(ctx context.Context, at time.Time) error {
	batch, err := s.Log.Newest(ctx, s.Name)
	if err != nil {
		return err
	}
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

func (s *Stream) apply(batch port.KeyedBatch, at time.Time) {
	for _, r := range batch.Records {
		s.Apply(r)
	}
	s.next = batch.Next
	if s.Verified != nil {
		s.Verified(at)
	}
}
