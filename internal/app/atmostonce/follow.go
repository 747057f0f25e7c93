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
	// minReadGrace and maxReadGrace bound what the log is given beyond the wait:
	// little, so that a silent connection is left soon, unless the log is slow.
	minReadGrace = time.Second
	maxReadGrace = 16 * time.Second
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second

	// A node carries entries forward when a random part of the retention
	// between these has passed, so that mostly one node writes a given entry
	// and none is left at half of the retention.
	minCarryAge   = 0.25
	maxCarryAge   = 0.45
	carryInterval = 30 * time.Second
	carryBatch    = 100
)

func (s *Service) follow(ctx context.Context) {
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
		s.setHealthy(false)
		s.o.Logger.Warn("ledger cannot be read", "error", err)
		_ = ctxtime.Sleep(ctx, time.Duration((0.5+s.o.Rand()/2)*float64(backoff)))
		backoff = min(2*backoff, maxBackoff)
	}
}

// readLog folds in the next records.
func (s *Service) readLog(ctx context.Context) error {
	s.mu.Lock()
	from, wait := s.state.Applied()+1, readWait
	if !s.caughtUp || !s.healthy {
		wait = 0
	}
	s.mu.Unlock()
	rctx, cancel := context.WithTimeout(ctx, wait+s.grace)
	defer cancel()
	batch, err := s.o.Log.Read(rctx, port.StreamLedger, from, readLimit, wait)
	var expired *port.ExpiredError
	if errors.As(err, &expired) {
		s.restart(expired.Oldest)
		return nil
	}
	if err != nil {
		return err
	}
	s.apply(batch.Records)
	s.setHealthy(true)
	return nil
}

// adaptGrace gives a slow log more time after a failure, and slowly less again.
func (s *Service) adaptGrace(ok bool) {
	if ok {
		s.grace = max(s.grace*49/50, minReadGrace)
		return
	}
	s.grace = min(s.grace*2, maxReadGrace)
}

// restart builds the state anew from the oldest record kept: what expired
// unread may have decided any key.
func (s *Service) restart(oldest port.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.o.Logger.Info("ledger is read from a later start", "oldest", uint64(oldest))
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
			s.o.Logger.Warn("ledger record is ignored", "offset", uint64(rec.Offset), "error", effect.Err)
			continue
		}
		if c := s.calls[effect.Attempt]; c != nil {
			c.decided(effect.Decision, s.epoch)
			c.opened = c.opened || effect.Reopened
		}
		if s.state.Lookup(effect.Key).Status == ledger.Done {
			delete(s.answers, effect.Key)
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
		c.poke()
	}
}

func (s *Service) wakeAll() {
	for k := range s.waiting {
		s.wake(k)
	}
}

// keep drops expired entries and carries the others forward before their
// records expire.
func (s *Service) keep(ctx context.Context) {
	part := minCarryAge + s.o.Rand()*(maxCarryAge-minCarryAge)
	interval := min(carryInterval, s.o.Retention/100)
	for ctx.Err() == nil {
		_ = ctxtime.Sleep(ctx, time.Duration((0.75+s.o.Rand()/2)*float64(interval)))
		for ctx.Err() == nil {
			due := s.due(part)
			if len(due) == 0 || !s.writeCarries(ctx, due) || len(due) < carryBatch {
				break
			}
			// The batch is due until it is read back.
			_ = ctxtime.Sleep(ctx, minReadGrace)
		}
	}
}

func (s *Service) due(part float64) []ledger.Carry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Prune()
	for k, a := range s.answers {
		if a.expires.Before(s.o.Clock.Now()) {
			delete(s.answers, k)
		}
	}
	if !s.caughtUp || !s.healthy {
		return nil
	}
	age := time.Duration(part * float64(s.o.Retention))
	return s.state.DueCarries(s.o.Clock.Now().Add(-age), carryBatch)
}

func (s *Service) writeCarries(ctx context.Context, due []ledger.Carry) bool {
	results := make(chan error, len(due))
	for _, c := range due {
		data, err := ledger.Encode(ledger.Record{Carry: &c})
		if err != nil {
			s.o.Logger.Error("ledger entry cannot be encoded", "error", err)
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
