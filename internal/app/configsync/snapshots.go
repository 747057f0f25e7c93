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
	// Each node waits for a random part of the retention between these before
	// it writes a snapshot, so that mostly one node writes and all see it well
	// before half of the retention.
	minSnapshotAge = 0.25
	maxSnapshotAge = 0.45
	// maxSnapshotLag is the number of records by which a snapshot may trail its
	// own offset. One that trails more does not count as fresh.
	maxSnapshotLag = 1000
	appendTimeout  = 5 * time.Second
	// maxSnapshotData keeps a snapshot below the response bound of the log's
	// client, 8 MiB after base64.
	maxSnapshotData = 5 << 20
	minSnapshotWait = time.Second
)

// snapshotTimes says when the next snapshot is due.
type snapshotTimes struct {
	last time.Time // when the newest snapshot was appended; else the first record
	part float64   // of the retention until the next
}

func (t *snapshotTimes) pick(random float64) {
	t.part = minSnapshotAge + random*(maxSnapshotAge-minSnapshotAge)
}

func (t *snapshotTimes) start(at time.Time) {
	if t.last.IsZero() {
		t.last = at
	}
}

func (t *snapshotTimes) adopted(at time.Time, random float64) {
	t.last = at
	t.pick(random)
}

// seen counts a snapshot record if it is fresh and agrees with the own state,
// so that a broken writer cannot keep the others from writing.
func (t *snapshotTimes) seen(own *config.State, systemKey ed25519.PublicKey, rec port.Record, random float64) {
	state, err := config.DecodeSnapshot(systemKey, rec.Data)
	if err != nil || state.Applied() >= rec.Offset || rec.Offset-state.Applied() > maxSnapshotLag || !own.ConsistentWith(state) {
		return
	}
	t.adopted(rec.AppendedAt, random)
}

// keepSnapshots writes a snapshot whenever one is due.
func (s *Sync) keepSnapshots(ctx context.Context) {
	for ctx.Err() == nil {
		wait := s.snapshotDue()
		if wait > 0 {
			s.sleepOrChange(ctx, wait)
			continue
		}
		err := s.writeSnapshot(ctx)
		if err != nil {
			s.o.Logger.Warn("snapshot record was not written", "error", err)
		}
		// The follower reads the record back within seconds; until then, and
		// while the log is down, another attempt would only add load.
		pause := 10 * readWait
		var limited *port.RateLimitedError
		if errors.As(err, &limited) {
			pause = max(pause, limited.RetryAfter)
		}
		_ = ctxtime.Sleep(ctx, time.Duration((0.5+s.o.Rand())*float64(pause)))
	}
}

// snapshotDue returns the time until a snapshot is due. Only a state that has
// seen the end of the stream is written.
func (s *Sync) snapshotDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Applied() == 0 || s.endOf == 0 || s.endOf+1 < s.reads {
		return s.o.Retention
	}
	due := s.snapshots.last.Add(time.Duration(s.snapshots.part * float64(s.o.Retention)))
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
