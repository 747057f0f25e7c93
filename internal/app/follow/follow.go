// Package follow reads one stream of the platform log from an offset on, for
// as long as the process runs.
package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	readLimit   = 500
	readWait    = 5 * time.Second
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 5 * time.Second
	readTimeout = readWait + 5*time.Second
)

// Follower reads a stream and hands every record to Handle, in offset order.
type Follower struct {
	Log    port.Log
	Stream string
	Logger *slog.Logger
	// Handle takes each record once.
	Handle func(port.Record)
	// Contact is told after each answer of the log. Optional.
	Contact func()
}

// Run reads until the context ends. An outage is retried with backoff and full
// jitter; records that expired unread are skipped with a warning, since every
// kind of record in the stream is either renewed or repeated by its writer.
func (f *Follower) Run(ctx context.Context) error {
	next, backoff := port.Offset(1), minBackoff
	for ctx.Err() == nil {
		batch, err := f.read(ctx, next)
		var expired *port.ExpiredError
		switch {
		case errors.As(err, &expired):
			f.Logger.Warn("log records expired before they were read",
				"stream", f.Stream, "from", next, "oldest", expired.Oldest)
			next = expired.Oldest
			continue
		case err != nil:
			f.Logger.Debug("log read failed", "stream", f.Stream, "error", err)
			wait(ctx, time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		for _, r := range batch.Records {
			f.Handle(r)
		}
		next = max(next, batch.Next)
		if f.Contact != nil {
			f.Contact()
		}
	}
	return ctx.Err()
}

func (f *Follower) read(ctx context.Context, from port.Offset) (port.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.Log.Read(ctx, f.Stream, from, readLimit, readWait)
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
