package configsync

import (
	"context"
	"errors"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

// follow reads until the context ends. A peer is asked first, because a
// restarted router then serves within one round trip.
func (s *Sync) follow(ctx context.Context) {
	s.pull(ctx)
	backoff := minBackoff
	for ctx.Err() == nil {
		err := s.readLog(ctx)
		s.adaptGrace(err == nil)
		if err == nil {
			backoff = minBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.o.Logger.Warn("configuration stream cannot be read", "error", err)
		s.pull(ctx)
		_ = ctxtime.Sleep(ctx, time.Duration((0.5+s.o.Rand()/2)*float64(backoff)))
		backoff = min(2*backoff, maxBackoff)
	}
}

// readLog applies the next records of the log, or a snapshot when they have
// expired.
func (s *Sync) readLog(ctx context.Context) error {
	s.mu.Lock()
	s.reads++
	read, from := s.reads, s.state.Applied()+1
	wait := readWait
	if s.behind {
		wait = 0
	}
	s.mu.Unlock()
	batch, err := s.read(ctx, from, wait)
	var expired *port.ExpiredError
	if errors.As(err, &expired) {
		return s.adoptFromLog(ctx, expired)
	}
	if err != nil {
		return err
	}
	s.apply(batch.Records)
	// Only an empty answer is the end: the log may return fewer records than
	// asked for.
	atEnd := len(batch.Records) == 0
	s.mu.Lock()
	s.behind = !atEnd
	if atEnd {
		s.endOf = read
		s.notify()
	}
	s.mu.Unlock()
	if atEnd {
		s.markReady()
	}
	return nil
}

// adaptGrace gives a slow log more time after a failure, and slowly less again.
func (s *Sync) adaptGrace(ok bool) {
	if ok {
		s.grace = max(s.grace*49/50, minReadGrace)
		return
	}
	s.grace = min(s.grace*2, maxReadGrace)
}

func (s *Sync) read(ctx context.Context, from port.Offset, wait time.Duration) (port.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.grace)
	defer cancel()
	return s.o.Log.Read(ctx, port.StreamConfig, from, readLimit, wait)
}

// pull applies what a peer has beyond the own offset.
func (s *Sync) pull(ctx context.Context) {
	for s.o.Peer != nil && ctx.Err() == nil {
		from := s.Applied() + 1
		batch, err := s.pullOnce(ctx, from)
		if err != nil {
			s.o.Logger.Info("configuration cannot be pulled from a peer", "error", err)
			return
		}
		records := batch.Records
		if len(records) > 0 && records[0].Offset == 0 {
			s.adopt(records[0], 0)
			records = records[1:]
		}
		s.apply(records)
		applied := s.Applied()
		if applied > 0 {
			s.markReady()
		}
		if applied < from {
			return
		}
	}
}

func (s *Sync) pullOnce(ctx context.Context, from port.Offset) (port.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return s.o.Peer.PullRecords(ctx, port.StreamConfig, from, readLimit)
}

// Applied returns the offset of the last record folded in. It only grows.
func (s *Sync) Applied() port.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Applied()
}

// apply folds in the records that are next in order and skips the others,
// whichever source they come from.
func (s *Sync) apply(records []port.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, accepted := s.state.Applied(), false
	for _, rec := range records {
		v := s.state.Apply(rec)
		if v.Reason == config.ReasonOutOfOrder {
			continue
		}
		s.kept.add(rec)
		s.decided(rec, v)
		accepted = accepted || v.Accepted
	}
	if s.state.Applied() > before {
		s.publish(accepted)
	}
}

// decided records the verdict on one record.
func (s *Sync) decided(rec port.Record, v config.Decision) {
	if v.Reason == config.ReasonSnapshot {
		s.snapshots.seen(s.state, s.o.SystemKey, rec, s.o.Rand())
		return
	}
	s.snapshots.start(rec.AppendedAt)
	if !v.Accepted {
		s.o.Logger.Warn("configuration change refused", "offset", uint64(v.Offset), "id", v.ID,
			"author", v.Author, "path", v.Path, "reason", string(v.Reason), "error", v.Err)
	}
	s.history.add(v)
	s.answer(rec, v)
}

// publish makes the state current; the caller holds the lock. While nothing
// was accepted the new snapshot shares its parts with the last one.
func (s *Sync) publish(accepted bool) {
	if accepted {
		s.current.Store(s.state.Compile())
	} else {
		last := *s.current.Load()
		last.Applied = s.state.Applied()
		s.current.Store(&last)
	}
	s.notify()
}

// adoptFromLog looks for the first usable snapshot among the records that the
// log still keeps.
func (s *Sync) adoptFromLog(ctx context.Context, expired *port.ExpiredError) error {
	for from := expired.Oldest; ; {
		batch, err := s.read(ctx, from, 0)
		if err != nil {
			return err
		}
		for _, rec := range batch.Records {
			if s.adopt(rec, batch.Oldest) {
				return nil
			}
		}
		if len(batch.Records) == 0 {
			return expired
		}
		from = batch.Records[len(batch.Records)-1].Offset + 1
	}
}

// adopt replaces the state by that of a snapshot record which is newer and,
// when it comes from the log, reaches the oldest record that the log keeps.
func (s *Sync) adopt(rec port.Record, oldest port.Offset) bool {
	if !config.IsSnapshot(rec.Data) {
		return false
	}
	state, err := config.DecodeSnapshot(s.o.SystemKey, rec.Data)
	if err != nil {
		s.o.Logger.Warn("snapshot record is not usable", "offset", uint64(rec.Offset), "error", err)
		return false
	}
	through := state.Applied()
	s.mu.Lock()
	defer s.mu.Unlock()
	if through <= s.state.Applied() || through+1 < oldest || (rec.Offset > 0 && through >= rec.Offset) {
		return false
	}
	s.state = state
	s.kept.reset()
	s.snapshots.adopted(rec.AppendedAt, s.o.Rand())
	s.publish(true)
	return true
}
