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

// SnapshotTooLargeError means that the state does not fit into one record.
type SnapshotTooLargeError struct{ Bytes int }

func (e *SnapshotTooLargeError) Error() string {
	return "snapshot record has " + strconv.Itoa(e.Bytes) + " bytes, at most " + strconv.Itoa(maxSnapshotData) + " are readable"
}

// ErrDecisionSkipped means that this node applied the change through a snapshot and
// has no decision on it.
var ErrDecisionSkipped = eris.New("the change was applied through a snapshot")

// UndecidedError means that the change may be in the log but its decision is not
// known yet. Publishing the same change again is safe. Offset is 0 if it is not
// known whether the change is in the log.
type UndecidedError struct {
	ID     string
	Offset port.Offset
	Cause  error
}

func (e *UndecidedError) Error() string {
	return "change " + strconv.Quote(e.ID) + " is not decided yet: " + e.Cause.Error()
}

func (e *UndecidedError) Unwrap() error { return e.Cause }

// publication is a change whose decision is pending.
type publication struct {
	id       string
	data     []byte
	decision chan config.Decision // capacity 1
}

// Publish appends a signed change and returns the decision on it. If the response
// of the log is lost, it determines the decision by reading the stream and appends
// the change again if it is missing; the state ignores duplicates. A
// *port.UnavailableError or *port.RateLimitedError means that the change is not
// in the log; an *UndecidedError means that it may be.
func (s *Sync) Publish(ctx context.Context, c config.Change) (config.Decision, error) {
	data, err := config.EncodeChange(c)
	if err != nil {
		return config.Decision{}, err
	}
	p := &publication{id: c.ID, data: data, decision: make(chan config.Decision, 1)}
	s.mu.Lock()
	s.pending[p] = struct{}{}
	s.mu.Unlock()
	defer s.removePending(p)
	var lost error // the first append whose effect is unknown
	for {
		offset, err := s.append(ctx, p)
		if err == nil {
			return s.awaitDecision(ctx, p, offset)
		}
		var unknown *port.UnknownOutcomeError
		if errors.As(err, &unknown) && lost == nil {
			lost = err
		}
		if lost == nil {
			return config.Decision{}, err
		}
		if d, ok := s.findDecision(ctx, p); ok {
			return d, nil
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

func (s *Sync) awaitDecision(ctx context.Context, p *publication, offset port.Offset) (config.Decision, error) {
	err := s.WaitApplied(ctx, offset)
	select {
	case d := <-p.decision:
		return d, nil
	default:
	}
	if err == nil {
		err = ErrDecisionSkipped
	}
	return config.Decision{}, &UndecidedError{ID: p.id, Offset: offset, Cause: err}
}

// findDecision waits until the decision is available or the follower has reached the
// end of the stream with a read that began after the append with the lost
// response.
func (s *Sync) findDecision(ctx context.Context, p *publication) (config.Decision, bool) {
	s.mu.Lock()
	after := s.reads
	s.mu.Unlock()
	err := s.waitFor(ctx, func() bool { return s.endRead > after || len(p.decision) > 0 })
	if err == nil {
		// A delayed append may still take effect; after a short pause the retry is
		// often unnecessary.
		_ = ctxtime.Sleep(ctx, time.Duration(s.o.Rand()*float64(minBackoff)))
	}
	select {
	case d := <-p.decision:
		return d, true
	default:
		return config.Decision{}, false
	}
}

// deliverDecision passes the decision to the publications of the record. s.mu must be
// held. Only the first record with the same content counts.
func (s *Sync) deliverDecision(rec port.Record, d config.Decision) {
	for p := range s.pending {
		if p.id == rec.ID && bytes.Equal(p.data, rec.Data) {
			select {
			case p.decision <- d:
			default:
			}
		}
	}
}

func (s *Sync) removePending(p *publication) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, p)
}
