package atmostonce

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
)

// Guards against a key that runs although its records may have expired, and
// against keys that are confused with each other.
func TestKeys(t *testing.T) {
	cases := map[string]struct {
		change func(*Request)
		want   string
	}{
		"same":                 {func(*Request) {}, "replay"},
		"another body":         {func(r *Request) { r.BodyHash = "other" }, "reused"},
		"another account":      {func(r *Request) { r.Key.ClientAccount = "other" }, "ok"},
		"another key":          {func(r *Request) { r.Key.Value = "other" }, "ok"},
		"older than retention": {func(r *Request) { r.Key.CreatedAt = r.Key.CreatedAt.Add(-keyRetention - time.Second) }, "expired"},
		"future within skew":   {func(r *Request) { r.Key.CreatedAt = r.Key.CreatedAt.Add(clockSkew) }, "replay"},
		"future":               {func(r *Request) { r.Key.CreatedAt = r.Key.CreatedAt.Add(clockSkew + time.Second) }, "expired"},
		"first use of old key": {func(r *Request) {
			r.Key.Value, r.Key.CreatedAt, r.Retention = "old", time.Now().Add(-logRetention), 30*logRetention
		}, "expired"},
		"repeat of an old key":  {func(r *Request) { r.Key.CreatedAt, r.Retention = time.Now().Add(-logRetention), 30*logRetention }, "replay"},
		"deadline in the past":  {func(r *Request) { r.Key.Value, r.Deadline = "late", time.Now().Add(-time.Second) }, "may have run"},
		"first, deadline past":  {func(r *Request) { r.Key.Value, r.Deadline, r.First = "late", time.Now(), true }, "not run"},
		"first, but known":      {func(r *Request) { r.First = true }, "replay"},
		"caller's other router": {func(r *Request) { r.Route = "other" }, "replay"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				is := is.New(t)
				a, b := w.router("a"), w.router("b")
				_, err := a.send(request("k"), "first")
				is.NoErr(err)
				<-time.After(time.Second)
				req := request("k")
				c.change(&req)
				is.Equal(resultKind(b.send(req, "second")), c.want)
			})
		})
	}
}

// Guards against an outcome or a pending key that is lost when its records expire
// and every router has restarted, and against expired keys that stay in memory.
func TestEntriesOutliveTheLog(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		is := is.New(t)
		w.retention = 2 * time.Hour
		w.log = portfake.NewLog(portfake.LogOptions{Retention: w.retention})
		long := 4 * w.retention
		a, b := w.router("a"), w.router("b")
		done, pending := request("done"), request("pending")
		done.Retention, pending.Retention = long, long
		out, err := a.send(done, "first")
		is.NoErr(err)
		_, err = b.Run(w.ctx, pending, func(context.Context, string) (Outcome, error) {
			return Outcome{}, &port.UnknownOutcomeError{Peer: "target"}
		})
		is.Equal(resultKind(Outcome{}, err), "may have run")
		<-time.After(5 * w.retention / 2)
		a.stop()
		b.stop()
		c := w.router("c")
		done.Deadline, pending.Deadline = time.Now().Add(callTimeout), time.Now().Add(callTimeout)
		again, err := c.send(done, "repeat")
		is.Equal(resultKind(again, err), "replay")
		is.Equal(again.Body, out.Body)
		is.Equal(resultKind(c.send(pending, "repeat")), "may have run")
		is.Equal(len(w.target.runs), 1)
		<-time.After(2 * w.retention)
		is.Equal(resultKind(c.send(done, "late")), "expired")
		_, err = c.send(request("fresh"), "fresh") // advances the time of the log
		is.NoErr(err)
		<-time.After(time.Hour)
		c.Service.mu.Lock()
		defer c.Service.mu.Unlock()
		is.True(c.state.Bytes() < 2000) // one entry
	})
}

// Guards against a router that was paused for longer than the retention and then
// decides without the records that have expired.
func TestFrozenPastRetention(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		is := is.New(t)
		a, b := w.router("a"), w.router("b")
		<-time.After(time.Minute)
		resume := a.pause()
		_, err := b.send(request("k"), "first")
		is.NoErr(err)
		is.NoErr(b.Flush(w.ctx))
		w.log.Expire(port.StreamLedger, 3)
		resume()
		<-time.After(time.Minute)
		a.Service.mu.Lock()
		epoch := a.epoch
		a.Service.mu.Unlock()
		is.Equal(epoch, 1)
		is.Equal(resultKind(a.send(request("other"), "second")), "ok")
	})
}

// Guards against a resendable key that stays "may have run", and against a
// takeover while another router may still send the first attempt.
func TestResendable(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		is := is.New(t)
		w.target.dedupe = true
		a, b := w.router("a"), w.router("b")
		req := request("k")
		req.Resendable = true
		_, err := a.Run(w.ctx, req, func(context.Context, string) (Outcome, error) {
			w.target.effect("k", "first")
			return Outcome{}, &port.UnknownOutcomeError{Peer: "target"}
		})
		is.Equal(resultKind(Outcome{}, err), "may have run")
		is.Equal(resultKind(b.send(req, "too early")), "may have run")
		req.Deadline = time.Now().Add(2 * clockSkew)
		var token port.Offset
		out, err := b.Run(w.ctx, req, func(ctx context.Context, _ string) (Outcome, error) {
			token, _ = FencingToken(ctx)
			return w.target.effect("k", "second"), nil
		})
		is.Equal(resultKind(out, err), "ok")
		is.True(token > 1)
		is.Equal(w.target.count("k"), 1)
		<-time.After(time.Second)
		is.Equal(resultKind(a.send(req, "third")), "replay")
	})
}

// Guards against a repeat that takes over a resendable key while the first
// attempt is still in progress on the same router.
func TestResendableWaitsForItsOwnRouter(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		is := is.New(t)
		a := w.router("a")
		req := request("k")
		req.Resendable = true
		barrier := make(chan struct{})
		a.onStep(onDispatch, func() { <-barrier })
		results := make(chan string, 2)
		for i := range 2 {
			go func() { results <- resultKind(a.send(req, fmt.Sprint(i))) }()
			<-time.After(time.Second)
		}
		close(barrier)
		got := []string{<-results, <-results}
		slices.Sort(got)
		is.Equal(got, []string{"ok", "replay"})
		is.Equal(w.target.count("k"), 1)
	})
}

// Guards against a dispatch based on a rebuilt state that may lack the record of
// an earlier winner.
func TestRebuildEndsOpenCalls(t *testing.T) {
	is := is.New(t)
	s := New(Options{Log: portfake.NewLog(portfake.LogOptions{}), Logger: slog.New(slog.DiscardHandler)})
	s.apply(nil)
	c := s.register(request("k"))
	is.Equal(s.next(c), step{})
	is.True(c.sent)
	s.rebuild(5)
	rec := s.appender.nextBatch()[0].record
	rec.Offset = 5
	s.apply([]port.Record{rec})
	next := s.next(c)
	is.True(!next.dispatch)
	is.Equal(resultKind(next.outcome, next.err), "may have run")
}

// Guards against a large body that fills the log or is dropped without the
// header that indicates it.
func TestLargeBody(t *testing.T) {
	for size, retained := range map[int]bool{MaxStoredBody: true, MaxStoredBody + 1: false} {
		inCluster(t, func(t *testing.T, w *cluster) {
			is := is.New(t)
			a, b := w.router("a"), w.router("b")
			body := bytes.Repeat([]byte("x"), size)
			out, err := a.Run(w.ctx, request("k"), func(context.Context, string) (Outcome, error) {
				return Outcome{Status: 200, Header: http.Header{"X-A": {"1"}}, Body: body}, nil
			})
			is.NoErr(err)
			is.Equal(len(out.Body), size)
			is.Equal(out.Header.Get(HeaderBodyKept) == "", retained)
			<-time.After(time.Second)
			again, err := b.send(request("k"), "repeat")
			is.Equal(resultKind(again, err), "replay")
			is.Equal(again.Status, 200)
			is.Equal(len(again.Body) == size, retained)
			is.Equal(again.Header.Get(HeaderBodyKept) == "", retained)
			is.Equal(again.Header.Get("X-A") == "1", retained)
		})
	}
}

// Guards against outcomes that fill the memory of the ledger, and against calls that are refused
// or run again because an outcome was not retained.
func TestOutcomesAreDroppedBeforeKeys(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		is := is.New(t)
		a := w.router("a")
		a.o.MaxBytes = 1 << 20
		body := bytes.Repeat([]byte("x"), MaxStoredBody)
		kept := 0
		for i := range 32 {
			out, err := a.Run(w.ctx, request(fmt.Sprint("k", i)), func(context.Context, string) (Outcome, error) {
				return Outcome{Status: 200, Body: body}, nil
			})
			is.NoErr(err)
			is.Equal(len(out.Body), len(body))
			<-time.After(time.Second) // it is read back
			retained, unconfirmed := a.outcomeBytes()
			is.True(retained <= a.o.MaxBytes/outcomesDivisor)
			is.Equal(unconfirmed, 0)
			again, err := a.send(request(fmt.Sprint("k", i)), "repeat")
			is.Equal(resultKind(again, err), "replay")
			if again.Header.Get(HeaderBodyKept) == "" {
				kept++
			}
		}
		is.True(kept > 0 && kept < 32)
	})
}

func (s *Service) outcomeBytes() (retained, unconfirmed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.OutcomeBytes(), s.unconfirmedBytes
}

// Guards against one append per call, and against exceeding the append rate.
func TestAppendsAreBatched(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		is := is.New(t)
		w.log = portfake.NewLog(portfake.LogOptions{AppendsPerSecond: defaultAppendsPerSecond + 1})
		a := w.router("a")
		began := time.Now()
		const calls = 300
		var wg sync.WaitGroup
		for i := range calls {
			wg.Go(func() {
				_, err := a.send(request(fmt.Sprint("k", i)), "c")
				is.NoErr(err)
			})
		}
		wg.Wait()
		is.NoErr(a.Flush(w.ctx))
		is.Equal(len(w.target.runs), calls)
		is.True(time.Since(began) <= time.Second) // at most 20 appends
	})
}

// Guards against a stop that loses outcomes, and against unbounded memory.
func TestFlushAndMemoryLimit(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		is := is.New(t)
		a, b := w.router("a"), w.router("b")
		a.onStep(beforeOutcome, func() { w.log.SetFaults(portfake.Faults{Outage: true}) })
		_, err := a.send(request("k"), "first")
		is.NoErr(err)
		synctest.Wait()
		flushed := make(chan error, 1)
		go func() { flushed <- a.Flush(w.ctx) }()
		<-time.After(time.Minute)
		is.Equal(len(flushed), 0)
		w.log.SetFaults(portfake.Faults{})
		is.NoErr(<-flushed)
		a.stop()
		<-time.After(time.Second)
		b.o.MaxBytes = 1
		is.Equal(resultKind(b.send(request("k"), "repeat")), "replay")
		is.Equal(resultKind(b.send(request("new"), "new")), "may have run")
		is.Equal(w.target.count("new"), 0)
	})
}
