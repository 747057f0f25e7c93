package atmostonce

import (
	"context"
	"errors"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/ledger"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	readLimit = 500
	readWait  = 2 * time.Second
	// minReadGrace and maxReadGrace bound the time that a read may take beyond its
	// wait: short, so that an unresponsive connection is abandoned soon, and longer
	// only if the log is slow.
	minReadGrace = time.Second
	maxReadGrace = 16 * time.Second
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second

	// A node carries entries forward after a random fraction of the retention
	// between these, so that usually one node writes a given entry and all are
	// carried before half of the retention.
	minCarryAge   = 0.25
	maxCarryAge   = 0.45
	carryInterval = 30 * time.Second
	carryBatch    = 100
)

func (s *Service) follow(ctx context.Context) {
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
		s.setHealthy(false)
		s.o.Logger.Warn("cannot read the ledger", "error", err)
		_ = ctxtime.Sleep(ctx, time.Duration((0.5+s.o.Rand()/2)*float64(backoff)))
		backoff = min(2*backoff, maxBackoff)
	}
}

// readLog reads and applies the next records.
func (s *Service) readLog(ctx context.Context) error {
	s.mu.Lock()
	from, wait := s.state.Applied()+1, readWait
	if !s.caughtUp || !s.healthy {
		wait = 0
	}
	s.mu.Unlock()
	rctx, cancel := context.WithTimeout(ctx, wait+s.readGrace)
	defer cancel()
	batch, err := s.o.Log.Read(rctx, port.StreamLedger, from, readLimit, wait)
	var expired *port.ExpiredError
	if errors.As(err, &expired) {
		s.rebuild(expired.Oldest)
		return nil
	}
	if err != nil {
		return err
	}
	s.apply(batch.Records)
	s.setHealthy(true)
	return nil
}

// adaptReadGrace doubles the read grace after a failure and reduces it slowly
// after successful reads.
func (s *Service) adaptReadGrace(ok bool) {
	if ok {
		s.readGrace = max(s.readGrace*49/50, minReadGrace)
		return
	}
	s.readGrace = min(s.readGrace*2, maxReadGrace)
}

// rebuild restarts the state from the oldest retained record. Records that
// expired unread may have decided any key.
func (s *Service) rebuild(oldest port.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.o.Logger.Info("ledger records expired unread, rebuilding the state", "oldest", uint64(oldest))
	s.state = ledger.NewState(oldest)
	s.epoch++
	s.caughtUp = false
	s.wakeAll()
}

func (s *Service) apply(records []port.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(records) == 0 && !s.caughtUp {
		s.caughtUp = true
		s.wakeAll()
	}
	for _, rec := range records {
		effect := s.state.Apply(rec)
		if effect.Err != nil {
			s.o.Logger.Warn("ledger record ignored", "offset", uint64(rec.Offset), "error", effect.Err)
			continue
		}
		if c := s.calls[effect.Attempt]; c != nil {
			c.setDecision(effect.Decision, s.epoch)
			c.reopened = c.reopened || effect.Reopened
		}
		if s.state.Lookup(effect.Key).Status == ledger.Done {
			s.confirm(effect.Key)
		}
		s.wake(effect.Key)
	}
}

func (s *Service) setHealthy(healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.healthy != healthy {
		s.healthy = healthy
		s.wakeAll()
	}
}

func (s *Service) wake(k ledger.Key) {
	for c := range s.waiting[k] {
		c.signal()
	}
}

func (s *Service) wakeAll() {
	for k := range s.waiting {
		s.wake(k)
	}
}

// carryLoop drops expired entries and carries the others forward before their
// records expire.
func (s *Service) carryLoop(ctx context.Context) {
	fraction := minCarryAge + s.o.Rand()*(maxCarryAge-minCarryAge)
	interval := min(carryInterval, s.o.Retention/100)
	for ctx.Err() == nil {
		_ = ctxtime.Sleep(ctx, time.Duration((0.75+s.o.Rand()/2)*float64(interval)))
		for ctx.Err() == nil {
			due := s.due(fraction)
			if len(due) == 0 || !s.writeCarries(ctx, due) || len(due) < carryBatch {
				break
			}
			// The batch stays due until it is read back.
			_ = ctxtime.Sleep(ctx, minReadGrace)
		}
	}
}

func (s *Service) due(fraction float64) []ledger.Carry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Prune()
	for k, a := range s.unconfirmed {
		if a.expires.Before(s.o.Clock.Now()) {
			s.confirm(k)
		}
	}
	if !s.caughtUp || !s.healthy {
		return nil
	}
	age := time.Duration(fraction * float64(s.o.Retention))
	return s.state.DueCarries(s.o.Clock.Now().Add(-age), carryBatch)
}

func (s *Service) writeCarries(ctx context.Context, due []ledger.Carry) bool {
	results := make(chan error, len(due))
	for _, c := range due {
		data, err := ledger.Encode(ledger.Record{Carry: &c})
		if err != nil {
			s.o.Logger.Error("cannot encode ledger entry", "error", err)
			return false
		}
		id := "carry-" + s.o.NewID()
		s.appender.add(&item{record: port.Record{ID: id, Data: data}, result: func(err error) { results <- err }})
	}
	for range due {
		select {
		case err := <-results:
			if err != nil {
				return false
			}
		case <-ctx.Done():
			return false
		}
	}
	return true
}
