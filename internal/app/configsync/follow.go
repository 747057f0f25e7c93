package configsync

import (
	"context"
	"errors"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

// follow reads the stream until the context ends. It pulls from a peer first, so
// that a restarted router can serve within one round trip.
func (s *Sync) follow(ctx context.Context) {
	s.pull(ctx)
	backoff := minBackoff
	for ctx.Err() == nil {
		err := s.readLog(ctx)
		s.adaptReadGrace(err == nil)
		if err == nil {
			backoff = minBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.o.Logger.Warn("cannot read the configuration stream", "error", err)
		s.pull(ctx)
		_ = ctxtime.Sleep(ctx, time.Duration((0.5+s.o.Rand()/2)*float64(backoff)))
		backoff = min(2*backoff, maxBackoff)
	}
}

// readLog applies the next records of the log, or a snapshot if they have
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
	// The log may return fewer records than requested.
	atEnd := batch.ReachesEnd()
	s.mu.Lock()
	s.behind = !atEnd
	if atEnd {
		s.endRead = read
		s.notify()
	}
	s.mu.Unlock()
	if atEnd {
		s.markReady()
	}
	return nil
}

// adaptReadGrace doubles the read grace after a failure and reduces it slowly
// after successful reads.
func (s *Sync) adaptReadGrace(ok bool) {
	if ok {
		s.readGrace = max(s.readGrace*49/50, minReadGrace)
		return
	}
	s.readGrace = min(s.readGrace*2, maxReadGrace)
}

func (s *Sync) read(ctx context.Context, from port.Offset, wait time.Duration) (port.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.readGrace)
	defer cancel()
	return s.o.Log.Read(ctx, port.StreamConfig, from, readLimit, wait)
}

// pull applies the records that a peer has beyond this router's offset.
func (s *Sync) pull(ctx context.Context) {
	for s.o.Peer != nil && ctx.Err() == nil {
		from := s.Applied() + 1
		batch, err := s.pullOnce(ctx, from)
		if err != nil {
			s.o.Logger.Info("cannot pull the configuration from a peer", "error", err)
			return
		}
		records := batch.Records
		if len(records) > 0 && records[0].Offset == 0 {
			s.adopt(records[0], 0)
			records = records[1:]
		}
		s.apply(records)
		if applied := s.Applied(); applied < from { // the peer knows no more
			if applied > 0 {
				s.markReady()
			}
			return
		}
	}
}

func (s *Sync) pullOnce(ctx context.Context, from port.Offset) (port.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return s.o.Peer.PullRecords(ctx, port.StreamConfig, from, readLimit)
}

// Applied returns the offset of the last applied record. It never decreases.
func (s *Sync) Applied() port.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Applied()
}

// apply applies the records that are next in order and skips the others,
// regardless of their source.
func (s *Sync) apply(records []port.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, accepted := s.state.Applied(), false
	for _, rec := range records {
		d := s.state.Apply(rec)
		if d.Reason == config.ReasonOutOfOrder {
			continue
		}
		s.retained.add(rec)
		s.recordDecision(rec, d)
		accepted = accepted || d.Accepted
	}
	if s.state.Applied() > before {
		s.publish(accepted)
	}
}

// recordDecision processes the decision on one record. s.mu must be held.
func (s *Sync) recordDecision(rec port.Record, d config.Decision) {
	if d.Reason == config.ReasonSnapshot {
		s.snapshots.observe(s.state, s.o.SystemKey, rec, s.o.Rand())
		return
	}
	s.snapshots.init(rec.AppendedAt)
	if !d.Accepted {
		s.o.Logger.Warn("configuration change refused", "offset", uint64(d.Offset), "id", d.ID,
			"author", d.Author, "path", d.Path, "reason", string(d.Reason), "error", d.Err)
	}
	s.history.add(d)
	s.deliverDecision(rec, d)
}

// publish makes the state current. s.mu must be held. If no change was accepted,
// the new snapshot shares its parts with the previous one.
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

// adoptFromLog adopts the first usable snapshot among the records that the log
// still retains.
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

// adopt replaces the state with that of a snapshot record if the snapshot is newer
// and, when it comes from the log, extends to the oldest record retained there.
func (s *Sync) adopt(rec port.Record, oldest port.Offset) bool {
	if !config.IsSnapshot(rec.Data) {
		return false
	}
	state, err := config.DecodeSnapshot(s.o.SystemKey, rec.Data)
	if err != nil {
		s.o.Logger.Warn("snapshot record not usable", "offset", uint64(rec.Offset), "error", err)
		return false
	}
	through := state.Applied()
	s.mu.Lock()
	defer s.mu.Unlock()
	if through <= s.state.Applied() || through+1 < oldest || (rec.Offset > 0 && through >= rec.Offset) {
		return false
	}
	s.state = state
	s.retained.reset()
	s.snapshots.adopted(rec.AppendedAt, s.o.Rand())
	s.publish(true)
	return true
}
