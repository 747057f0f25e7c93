package configsync

import (
	"context"
	"crypto/ed25519"
	"errors"
	"time"

	"github.com/google/uuid"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// Each node waits for a random fraction of the retention between these before
	// it writes a snapshot, so that usually one node writes it and all read it well
	// before half of the retention.
	minSnapshotAge = 0.25
	maxSnapshotAge = 0.45
	// maxSnapshotLag is the number of records by which the state of a snapshot may
	// trail the offset of its record and still count as fresh.
	maxSnapshotLag = 1000
	appendTimeout  = 5 * time.Second
	// maxSnapshotData keeps a snapshot below the response limit of the log client,
	// 8 MiB after base64 encoding.
	maxSnapshotData = 5 << 20
	minSnapshotWait = time.Second
)

// snapshotSchedule determines when the next snapshot is due.
type snapshotSchedule struct {
	last     time.Time // append time of the newest snapshot, or of the first record
	fraction float64   // of the retention until the next snapshot
}

func (t *snapshotSchedule) chooseInterval(random float64) {
	t.fraction = minSnapshotAge + random*(maxSnapshotAge-minSnapshotAge)
}

func (t *snapshotSchedule) init(at time.Time) {
	if t.last.IsZero() {
		t.last = at
	}
}

func (t *snapshotSchedule) adopted(at time.Time, random float64) {
	t.last = at
	t.chooseInterval(random)
}

// observe accepts a snapshot record if it is fresh and agrees with this node's own
// state, so that a faulty writer cannot prevent the others from writing.
func (t *snapshotSchedule) observe(own *config.State, systemKey ed25519.PublicKey, rec port.Record, random float64) {
	state, err := config.DecodeSnapshot(systemKey, rec.Data)
	if err != nil || state.Applied() >= rec.Offset || rec.Offset-state.Applied() > maxSnapshotLag || !own.ConsistentWith(state) {
		return
	}
	t.adopted(rec.AppendedAt, random)
}

// snapshotLoop appends a snapshot whenever one is due.
func (s *Sync) snapshotLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := s.snapshotDue()
		if wait > 0 {
			s.sleepOrChange(ctx, wait)
			continue
		}
		err := s.writeSnapshot(ctx)
		if err != nil {
			s.o.Logger.Warn("cannot write snapshot record", "error", err)
		}
		// The follower reads the record back within seconds; until then, and while
		// the log is unavailable, another attempt would only add load.
		pause := 10 * readWait
		var limited *port.RateLimitedError
		if errors.As(err, &limited) {
			pause = max(pause, limited.RetryAfter)
		}
		_ = ctxtime.Sleep(ctx, time.Duration((0.5+s.o.Rand())*float64(pause)))
	}
}

// snapshotDue returns the time until a snapshot is due. A snapshot is written only
// after the end of the stream was reached.
func (s *Sync) snapshotDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Applied() == 0 || s.endRead == 0 || s.endRead+1 < s.reads {
		return s.o.Retention
	}
	due := s.snapshots.last.Add(time.Duration(s.snapshots.fraction * float64(s.o.Retention)))
	wait := due.Sub(s.o.Clock.Now())
	if wait <= 0 {
		return 0
	}
	return max(wait, minSnapshotWait)
}

func (s *Sync) sleepOrChange(ctx context.Context, d time.Duration) {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
}

func (s *Sync) writeSnapshot(ctx context.Context) error {
	s.mu.Lock()
	data, err := s.state.EncodeSnapshot()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if len(data) > maxSnapshotData {
		return &SnapshotTooLargeError{Bytes: len(data)}
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = s.o.Log.Append(ctx, port.StreamConfig, []port.Record{{ID: "snapshot-" + uuid.NewString(), Data: data}})
	return err
}
