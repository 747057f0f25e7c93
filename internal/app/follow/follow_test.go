package follow

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
)

// fill appends n records and expires all before oldest.
func fill(t *testing.T, n int, oldest port.Offset) *portfake.Log {
	t.Helper()
	log := portfake.NewLog(portfake.LogOptions{})
	for i := range n {
		_, err := log.Append(context.Background(), "s", []port.Record{{ID: strconv.Itoa(i + 1)}})
		is.New(t).NoErr(err)
	}
	log.Expire("s", oldest)
	return log
}

// Guards against a reader that starts beyond the end or before the oldest record.
func TestBounds(t *testing.T) {
	for _, c := range []struct {
		records      int
		expire       port.Offset
		oldest, next port.Offset
	}{{0, 1, 1, 1}, {1, 1, 1, 2}, {100, 1, 1, 101}, {100, 77, 77, 101}, {100, 101, 101, 101}} {
		is := is.New(t)
		oldest, next, err := Bounds(context.Background(), fill(t, c.records, c.expire), "s")
		is.NoErr(err)
		is.Equal(oldest, c.oldest)
		is.Equal(next, c.next)
	}
}

// Guards against records that are skipped or handled twice, also if the log was down at
// the start.
func TestRunStartsAtTheTailAndContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := fill(t, 40, 5)
		log.SetFaults(portfake.Faults{Outage: true})
		var got []port.Offset
		f := Follower{Log: log, Stream: "s", Logger: slog.New(slog.DiscardHandler), Tail: 3,
			Handle: func(r port.Record) { got = append(got, r.Offset) }}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		synctest.Wait()
		is.Equal(len(got), 0)
		log.SetFaults(portfake.Faults{})
		_ = ctxtime.Sleep(ctx, maxBackoff)
		synctest.Wait()
		_, err := log.Append(ctx, "s", []port.Record{{ID: "new"}})
		is.NoErr(err)
		synctest.Wait()
		is.Equal(got, []port.Offset{38, 39, 40, 41})
		cancel()
		<-done
	})
}

// Guards against a follower that skips or repeats records because the log returned from an
// older copy.
func TestFollowReadsARestoredLogFromItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := portfake.NewLog(portfake.LogOptions{})
		appendIDs := func(ids ...string) {
			for _, id := range ids {
				_, err := log.Append(t.Context(), "s", []port.Record{{ID: id}})
				is.NoErr(err)
			}
		}
		appendIDs("a")
		copied := log.Now()
		appendIDs("b", "c")
		var read []string
		f := &Follower{Log: log, Stream: "s", Logger: slog.New(slog.DiscardHandler), Handle: func(r port.Record) { read = append(read, r.ID) }}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		synctest.Wait()
		is.Equal(read, []string{"a", "b", "c"})
		log.Restore(copied)
		appendIDs("d", "e", "f")
		<-time.After(time.Second)
		synctest.Wait()
		is.Equal(read, []string{"a", "b", "c", "a", "d", "e", "f"})
		oldest, next, err := Bounds(t.Context(), log, "s")
		is.NoErr(err)
		is.Equal(oldest, port.OffsetAt(1, 1))
		is.Equal(next, port.OffsetAt(1, 5))
		cancel()
		synctest.Wait()
	})
}
