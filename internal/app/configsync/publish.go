package configsync

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

// SnapshotTooLargeError means that the state no longer fits into one record.
type SnapshotTooLargeError struct{ Bytes int }

func (e *SnapshotTooLargeError) Error() string {
	return "snapshot record has " + strconv.Itoa(e.Bytes) + " bytes, at most " + strconv.Itoa(maxSnapshotData) + " are readable"
}

// ErrVerdictSkipped means that a snapshot took this node past the change.
var ErrVerdictSkipped = eris.New("the change was folded in through a snapshot")

// UndecidedError means that the change may be in the log, but its verdict is
// not known yet. Publishing the same change again is safe. Offset is 0 when it
// is not known whether the log took the change.
type UndecidedError struct {
	ID     string
	Offset port.Offset
	Cause  error
}

func (e *UndecidedError) Error() string {
	return "change " + strconv.Quote(e.ID) + " is not decided yet: " + e.Cause.Error()
}

func (e *UndecidedError) Unwrap() error { return e.Cause }

// publication waits for the verdict on one record.
type publication struct {
	id      string
	data    []byte
	verdict chan config.Decision // holds one
}

// Publish appends a signed change and returns the verdict on it. When the
// answer of the log is lost, it finds the verdict by reading and appends again
// if the change is not there: the fold ignores the repeat. An
// *port.UnavailableError or *port.RateLimitedError means that the change is
// not in the log; an *UndecidedError that it may be.
func (s *Sync) Publish(ctx context.Context, c config.Change) (config.Decision, error) {
	data, err := config.EncodeChange(c)
	if err != nil {
		return config.Decision{}, err
	}
	p := &publication{id: c.ID, data: data, verdict: make(chan config.Decision, 1)}
	s.mu.Lock()
	s.pending[p] = struct{}{}
	s.mu.Unlock()
	defer s.forget(p)
	var lost error // the first append whose effect is unknown
	for {
		offset, err := s.append(ctx, p)
		if err == nil {
			return s.awaitVerdict(ctx, p, offset)
		}
		var unknown *port.UnknownOutcomeError
		if errors.As(err, &unknown) && lost == nil {
			lost = err
		}
		if lost == nil {
			return config.Decision{}, err
		}
		if v, ok := s.findVerdict(ctx, p); ok {
			return v, nil
		}
		if ctx.Err() != nil {
			return config.Decision{}, &UndecidedError{ID: c.ID, Cause: lost}
		}
	}
}

func (s *Sync) append(ctx context.Context, p *publication) (port.Offset, error) {
	if ctx.Err() != nil {
		return 0, &port.UnavailableError{Peer: "platform log", Cause: ctx.Err()}
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return s.o.Log.Append(ctx, port.StreamConfig, []port.Record{{ID: p.id, Data: p.data}})
}

func (s *Sync) awaitVerdict(ctx context.Context, p *publication, offset port.Offset) (config.Decision, error) {
	err := s.WaitApplied(ctx, offset)
	select {
	case v := <-p.verdict:
		return v, nil
	default:
	}
	if err == nil {
		err = ErrVerdictSkipped
	}
	return config.Decision{}, &UndecidedError{ID: p.id, Offset: offset, Cause: err}
}

// findVerdict waits until the follower has read the stream to its end, with a
// read that began after the lost append, or the verdict is there.
func (s *Sync) findVerdict(ctx context.Context, p *publication) (config.Decision, bool) {
	s.mu.Lock()
	after := s.reads
	s.mu.Unlock()
	err := s.waitFor(ctx, func() bool { return s.endOf > after || len(p.verdict) > 0 })
	if err == nil {
		// A delayed append may still arrive; a short pause makes it likely that
		// the repeat is not needed.
		_ = ctxtime.Sleep(ctx, time.Duration(s.o.Rand()*float64(minBackoff)))
	}
	select {
	case v := <-p.verdict:
		return v, true
	default:
		return config.Decision{}, false
	}
}

// answer hands the verdict to the publications of the record; the caller holds
// the lock. Only the first record with the same content counts.
func (s *Sync) answer(rec port.Record, v config.Decision) {
	for p := range s.pending {
		if p.id == rec.ID && bytes.Equal(p.data, rec.Data) {
			select {
			case p.verdict <- v:
			default:
			}
		}
	}
}

func (s *Sync) forget(p *publication) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, p)
}
