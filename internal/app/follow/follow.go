// Package follow reads a stream of the platform's log continuously from an offset on.
package follow

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
	readLimit   = 500
	readWait    = 20 * time.Second
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 5 * time.Second
	readTimeout = readWait + 5*time.Second
)

// Follower reads a stream and passes every record to Handle in the order of offsets.
type Follower struct {
	Log    port.Log
	Stream string
	Logger *slog.Logger
	// Handle is called once for each record.
	Handle func(port.Record)
	// OnContact is called after each response of the log. Optional.
	OnContact func()
	// Tail is the maximum number of records before the end of the stream at which the
	// follower starts, for streams whose older records are obsolete. 0: start at the oldest
	// record.
	Tail port.Offset
}

// Run reads until the context ends. Failed reads are retried with backoff and full
// jitter. Records that expired unread are skipped with a warning, because writers renew
// or repeat every kind of record in the stream.
func (f *Follower) Run(ctx context.Context) error {
	next, backoff := port.Offset(0), minBackoff
	// The first read does not wait, so that contact with the log is established at once.
	readFor := time.Duration(0)
	for ctx.Err() == nil {
		if next == 0 {
			next = f.start(ctx)
		}
		batch, err := f.read(ctx, max(next, 1), readFor)
		var expired *port.ExpiredError
		switch {
		case errors.As(err, &expired):
			f.Logger.Warn("log records expired before they were read",
				"stream", f.Stream, "from", next, "oldest", expired.Oldest)
			next = expired.Oldest
			continue
		case err != nil:
			f.Logger.Debug("log read failed", "stream", f.Stream, "error", err)
			_ = ctxtime.Sleep(ctx, time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff, readFor = minBackoff, readWait
		for _, r := range batch.Records {
			f.Handle(r)
		}
		next = max(next, batch.Next)
		if f.OnContact != nil {
			f.OnContact()
		}
	}
	return ctx.Err()
}

func (f *Follower) read(ctx context.Context, from port.Offset, wait time.Duration) (port.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.Log.Read(ctx, f.Stream, from, readLimit, wait)
}

// start returns the offset to begin at, or 0 if the log's bounds cannot be read now.
func (f *Follower) start(ctx context.Context) port.Offset {
	if f.Tail == 0 {
		return 1
	}
	oldest, next, err := Bounds(ctx, f.Log, f.Stream)
	if err != nil {
		f.Logger.Debug("log bounds not read", "stream", f.Stream, "error", err)
		return 0
	}
	if next-oldest <= f.Tail {
		return oldest
	}
	return next - f.Tail
}

// Bounds returns the oldest retained offset of a stream and the offset that the next record
// will get. It uses an exponential and binary search with single-record reads, because the
// log has no call for it.
func Bounds(ctx context.Context, log port.Log, stream string) (oldest, next port.Offset, err error) {
	exists := func(offset port.Offset) (bool, error) {
		b, err := log.Read(ctx, stream, offset, 1, 0)
		if err != nil {
			return false, err
		}
		oldest = b.Oldest
		return len(b.Records) > 0, nil
	}
	found, err := exists(1)
	var expired *port.ExpiredError
	if errors.As(err, &expired) {
		oldest = expired.Oldest
		found, err = exists(oldest)
	}
	if err != nil || !found {
		return oldest, oldest, err
	}
	low, high, err := gallop(oldest, exists)
	for err == nil && high-low > 1 {
		middle := low + (high-low)/2
		if found, err = exists(middle); found {
			low = middle
		} else {
			high = middle
		}
	}
	return oldest, high, err
}

// gallop doubles its step from the given offset on and returns the last offset that exists
// and the first one tried that does not.
func gallop(from port.Offset, exists func(port.Offset) (bool, error)) (low, high port.Offset, err error) {
	low = from
	for step := port.Offset(1); ; step *= 2 {
		found, err := exists(low + step)
		if err != nil || !found {
			return low, low + step, err
		}
		low += step
	}
}
