// Package porttest provides the contract tests that every implementation of a port
// must pass: the fakes, the stand-ins behind the adapters, and any real service.
package porttest

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
)

// Limits configured for the log under test.
const (
	LogRetention        = time.Hour
	LogAppendsPerSecond = 1
	LogAppendBurst      = 5
)

// LogHarness provides an empty log under test and its fault injection.
type LogHarness struct {
	Log       port.Log
	SetFaults func(portfake.Faults)
	Expire    func(stream string, oldest port.Offset)
	// Advance moves the clock of the log forward.
	Advance func(time.Duration)
}

const contractStream = "contract"

type logCase struct {
	name string
	run  func(ctx context.Context, is *is.I, h LogHarness)
}

// RunLog runs the contract tests of port.Log; open returns a new log for each case.
func RunLog(t *testing.T, open func(t *testing.T) LogHarness) {
	for _, c := range logCases {
		t.Run(c.name, func(t *testing.T) {
			c.run(t.Context(), is.New(t), open(t))
		})
	}
}

var logCases = []logCase{
	// Guards against appends that are split or reordered, or that start at offset 0.
	{"batches are dense and in order", func(ctx context.Context, is *is.I, h LogHarness) {
		is.Equal(appendIDs(ctx, is, h.Log, "a", "b"), port.Offset(1))
		is.Equal(appendIDs(ctx, is, h.Log, "c"), port.Offset(3))
		b := readNow(ctx, is, h.Log, 1, 10)
		is.Equal(ids(b), []string{"a", "b", "c"})
		is.Equal(b.Next, port.Offset(4))
		is.Equal(b.Oldest, port.Offset(1))
		is.Equal(b.Records[1].Offset, port.Offset(2))
		is.Equal(string(b.Records[1].Data), "data of b")
		is.True(!b.Records[1].AppendedAt.IsZero())
	}},
	// Guards against a reader that skips records at a page boundary.
	{"reads continue at next", func(ctx context.Context, is *is.I, h LogHarness) {
		appendIDs(ctx, is, h.Log, "a", "b", "c")
		b := readNow(ctx, is, h.Log, 0, 2)
		is.Equal(ids(b), []string{"a", "b"})
		b = readNow(ctx, is, h.Log, b.Next, 2)
		is.Equal(ids(b), []string{"c"})
		is.Equal(b.Next, port.Offset(4))
	}},
	// Guards against records of one stream that appear in another.
	{"streams are separate", func(ctx context.Context, is *is.I, h LogHarness) {
		appendIDs(ctx, is, h.Log, "a")
		b, err := h.Log.Read(ctx, "other", 1, 10, 0)
		is.NoErr(err)
		is.Equal(len(b.Records), 0)
		is.Equal(b.Next, port.Offset(1))
	}},
	// Guards against a long poll that misses a record appended while it waits.
	{"a waiting read returns the next record", func(ctx context.Context, is *is.I, h LogHarness) {
		got := make(chan port.Batch, 1)
		go func() {
			b, _ := h.Log.Read(ctx, contractStream, 1, 10, time.Minute)
			got <- b
		}()
		appendIDs(ctx, is, h.Log, "a")
		is.Equal(ids(<-got), []string{"a"})
	}},
	// Guards against a long poll that fails when its wait ends.
	{"a read without records ends empty", func(ctx context.Context, is *is.I, h LogHarness) {
		b, err := h.Log.Read(ctx, contractStream, 1, 10, time.Millisecond)
		is.NoErr(err)
		is.Equal(len(b.Records), 0)
		is.Equal(b.Next, port.Offset(1))
	}},
	// Guards against readers that take the records remaining after expiry for the
	// whole stream.
	{"expired offsets name the oldest", func(ctx context.Context, is *is.I, h LogHarness) {
		appendIDs(ctx, is, h.Log, "a", "b", "c")
		h.Expire(contractStream, 3)
		wantExpired(ctx, is, h.Log, 2, 3)
		b := readNow(ctx, is, h.Log, 3, 10)
		is.Equal(ids(b), []string{"c"})
		is.Equal(b.Oldest, port.Offset(3))
	}},
	// Guards against offsets that restart after all records have expired.
	{"retention by age keeps offsets", func(ctx context.Context, is *is.I, h LogHarness) {
		appendIDs(ctx, is, h.Log, "a", "b")
		h.Advance(LogRetention + time.Second)
		wantExpired(ctx, is, h.Log, 1, 3)
		is.Equal(appendIDs(ctx, is, h.Log, "c"), port.Offset(3))
		is.Equal(ids(readNow(ctx, is, h.Log, 3, 10)), []string{"c"})
	}},
	// Guards against a lost response that is reported as not written.
	{"response lost after the effect", func(ctx context.Context, is *is.I, h LogHarness) {
		h.SetFaults(portfake.Faults{LoseAfterEffect: 1})
		wantUnknown(ctx, is, h.Log)
		is.Equal(appendIDs(ctx, is, h.Log, "b"), port.Offset(2))
		is.Equal(ids(readNow(ctx, is, h.Log, 1, 10)), []string{"lost", "b"})
	}},
	// Guards against a lost response that is reported as written.
	{"response lost before the effect", func(ctx context.Context, is *is.I, h LogHarness) {
		h.SetFaults(portfake.Faults{LoseBeforeEffect: 2})
		wantUnknown(ctx, is, h.Log)
		wantUnknown(ctx, is, h.Log)
		is.Equal(appendIDs(ctx, is, h.Log, "b"), port.Offset(1))
		is.Equal(ids(readNow(ctx, is, h.Log, 1, 10)), []string{"b"})
	}},
	// Guards against appends that are written during an outage, and records that are
	// lost by it.
	{"outage writes nothing", func(ctx context.Context, is *is.I, h LogHarness) {
		appendIDs(ctx, is, h.Log, "a")
		h.SetFaults(portfake.Faults{Outage: true})
		var unavailable *port.UnavailableError
		_, err := h.Log.Append(ctx, contractStream, newRecords("b"))
		is.True(errors.As(err, &unavailable))
		_, err = h.Log.Read(ctx, contractStream, 1, 10, 0)
		is.True(errors.As(err, &unavailable))
		h.SetFaults(portfake.Faults{})
		is.Equal(ids(readNow(ctx, is, h.Log, 1, 10)), []string{"a"})
	}},
	// Guards against rejected appends that are written, and against a limit that
	// counts records instead of calls.
	{"rate limit counts appends", func(ctx context.Context, is *is.I, h LogHarness) {
		for range LogAppendBurst {
			appendIDs(ctx, is, h.Log, "a", "b")
		}
		var limited *port.RateLimitedError
		_, err := h.Log.Append(ctx, contractStream, newRecords("c"))
		is.True(errors.As(err, &limited))
		is.True(limited.RetryAfter > 0)
		h.Advance(limited.RetryAfter)
		is.Equal(appendIDs(ctx, is, h.Log, "d"), port.Offset(2*LogAppendBurst+1))
	}},
	// Guards against a call that reports an unknown outcome although it was cancelled
	// before anything was sent.
	{"a cancelled caller writes nothing", func(ctx context.Context, is *is.I, h LogHarness) {
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		var unavailable *port.UnavailableError
		_, err := h.Log.Append(cancelled, contractStream, newRecords("a"))
		is.True(errors.As(err, &unavailable))
		is.Equal(len(readNow(ctx, is, h.Log, 1, 10).Records), 0)
	}},
	// Guards against invalid input that is written or reported as retryable.
	{"invalid input is refused", func(ctx context.Context, is *is.I, h LogHarness) {
		for _, c := range []struct {
			stream  string
			records []port.Record
		}{
			{"Not/A Stream", newRecords("a")},
			{contractStream, nil},
			{contractStream, newRecords("a", "")},
		} {
			var bad *port.BadRequestError
			_, err := h.Log.Append(ctx, c.stream, c.records)
			is.True(errors.As(err, &bad))
		}
		is.Equal(len(readNow(ctx, is, h.Log, 1, 10).Records), 0)
	}},
}

func newRecords(names ...string) []port.Record {
	var records []port.Record
	for _, n := range names {
		records = append(records, port.Record{ID: n, Data: []byte("data of " + n)})
	}
	return records
}

func appendIDs(ctx context.Context, is *is.I, l port.Log, names ...string) port.Offset {
	is.Helper()
	first, err := l.Append(ctx, contractStream, newRecords(names...))
	is.NoErr(err)
	return first
}

func readNow(ctx context.Context, is *is.I, l port.Log, from port.Offset, limit int) port.Batch {
	is.Helper()
	b, err := l.Read(ctx, contractStream, from, limit, 0)
	is.NoErr(err)
	return b
}

func ids(b port.Batch) []string {
	var names []string
	for _, r := range b.Records {
		names = append(names, r.ID)
	}
	return names
}

func wantUnknown(ctx context.Context, is *is.I, l port.Log) {
	is.Helper()
	var unknown *port.UnknownOutcomeError
	_, err := l.Append(ctx, contractStream, newRecords("lost"))
	is.True(errors.As(err, &unknown))
}

func wantExpired(ctx context.Context, is *is.I, l port.Log, from, oldest port.Offset) {
	is.Helper()
	var expired *port.ExpiredError
	_, err := l.Read(ctx, contractStream, from, 10, 0)
	is.True(errors.As(err, &expired))
	is.Equal(*expired, port.ExpiredError{Stream: contractStream, From: from, Oldest: oldest})
}
