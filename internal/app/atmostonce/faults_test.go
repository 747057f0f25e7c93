package atmostonce

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
)

// Guards against a call that runs twice, or a false result, when one fault
// affects the first router at any step. The caller repeats the request through
// another router after the fault has ended.
func TestFaultAtEachStep(t *testing.T) {
	stop := func(r *router) { r.pause() }
	freeze := func(r *router) { r.advanceClock(time.Hour) }
	down := func(r *router) { r.w.log.SetFaults(portfake.Faults{Outage: true}) }
	lostAfter := func(r *router) { r.w.log.SetFaults(portfake.Faults{LoseAfterEffect: 1}) }
	lostBefore := func(r *router) { r.w.log.SetFaults(portfake.Faults{LoseBeforeEffect: 1}) }
	cases := []struct {
		name          string
		fault         func(*router)
		step          string
		first, repeat string
		runs          int
	}{
		{"stopped", stop, beforeIntent, "", "ok", 1},
		{"stopped", stop, afterIntent, "", "may have run", 0},
		{"stopped", stop, readBack, "", "may have run", 0},
		{"stopped", stop, onDispatch, "", "may have run", 0},
		{"stopped", stop, afterEffect, "", "may have run", 1},
		{"stopped", stop, beforeOutcome, "ok", "may have run", 1},
		{"frozen", freeze, beforeIntent, "not run", "ok", 1},
		{"frozen", freeze, afterIntent, "not run", "ok", 1},
		{"frozen", freeze, readBack, "not run", "ok", 1},
		{"frozen", freeze, onDispatch, "ok", "replay", 1},
		{"frozen", freeze, afterEffect, "ok", "replay", 1},
		{"frozen", freeze, beforeOutcome, "ok", "replay", 1},
		{"log down", down, beforeIntent, "may have run", "ok", 1},
		{"log down", down, afterIntent, "may have run", "ok", 1},
		{"log down", down, readBack, "ok", "replay", 1},
		{"log down", down, onDispatch, "ok", "replay", 1},
		{"log down", down, afterEffect, "ok", "replay", 1},
		{"log down", down, beforeOutcome, "ok", "replay", 1},
		{"response lost after effect", lostAfter, beforeIntent, "ok", "replay", 1},
		{"response lost before effect", lostBefore, beforeIntent, "ok", "replay", 1},
		{"response lost after effect", lostAfter, beforeOutcome, "ok", "replay", 1},
		{"response lost before effect", lostBefore, beforeOutcome, "ok", "replay", 1},
	}
	for _, c := range cases {
		t.Run(c.name+" "+c.step, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				is := is.New(t)
				a, b := w.router("a"), w.router("b")
				a.onStep(c.step, func() { c.fault(a) })
				first := make(chan result, 1)
				go func() {
					out, err := a.send(request("k"), "first")
					first <- result{out, err}
				}()
				<-time.After(2 * time.Minute)
				w.log.SetFaults(portfake.Faults{})
				<-time.After(time.Minute)
				got, retained := "", Outcome{}
				select {
				case r := <-first:
					got, retained = resultKind(r.outcome, r.err), r.outcome
				default:
				}
				if c.name == "stopped" && c.first == "" {
					got = "" // the result of a stopped router reaches no caller
				}
				is.Equal(got, c.first)
				out, err := b.send(request("k"), "repeat")
				is.Equal(resultKind(out, err), c.repeat)
				is.Equal(w.target.count("k"), c.runs)
				if c.repeat == "replay" {
					is.Equal(out.Body, retained.Body)
					is.Equal(out.Status, retained.Status)
				}
			})
		})
	}
}

// Guards against a wrong result after a fault of the target.
func TestTargetFaults(t *testing.T) {
	unknown := &port.UnknownOutcomeError{Peer: "target"}
	cases := map[string]struct {
		effect        bool
		delay         time.Duration
		err           error
		first, repeat string
		runs          int
	}{
		"crash before the effect": {false, 0, unknown, "may have run", "may have run", 0},
		"crash after the effect":  {true, 0, unknown, "may have run", "may have run", 1},
		"declared not run":        {false, 0, &port.NotRunError{Target: "t", RetryAfter: time.Second}, "not run", "ok", 1},
		"late response":           {true, callTimeout + 5*time.Second, nil, "may have run", "replay", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				is := is.New(t)
				a, b := w.router("a"), w.router("b")
				out, err := a.Run(w.ctx, request("k"), func(context.Context, string) (Outcome, error) {
					var out Outcome
					if c.effect {
						out = w.target.effect("k", "first")
					}
					<-time.After(c.delay)
					return out, c.err
				})
				is.Equal(resultKind(out, err), c.first)
				<-time.After(c.delay + time.Second)
				out, err = b.send(request("k"), "repeat")
				is.Equal(resultKind(out, err), c.repeat)
				is.Equal(w.target.count("k"), c.runs)
			})
		})
	}
}

// Guards against an unjustified "not run" while the log cannot be read: only the
// caller's assertion that it never sent the key justifies it. The call must not
// run later.
func TestLogUnreadable(t *testing.T) {
	for _, first := range []bool{true, false} {
		for _, step := range []string{"", beforeIntent, afterIntent} {
			inCluster(t, func(t *testing.T, w *cluster) {
				is := is.New(t)
				a, b := w.router("a"), w.router("b")
				down := func() { w.log.SetFaults(portfake.Faults{Outage: true}) }
				if step == "" {
					down()
				} else {
					a.onStep(step, down)
				}
				req := request("k")
				req.First = first
				out, err := a.send(req, "first")
				want := "may have run"
				if first {
					want = "not run"
				}
				is.Equal(resultKind(out, err), want)
				<-time.After(time.Minute)
				w.log.SetFaults(portfake.Faults{})
				<-time.After(time.Minute)
				is.Equal(w.target.count("k"), 0)
				out, err = b.send(request("k"), "repeat")
				is.Equal(resultKind(out, err), "ok")
			})
		}
	}
}

// Guards against two runs when the caller repeats the request concurrently
// through another router. A variant that does not read back its intent runs
// twice under the same schedule.
func TestConcurrentRepeat(t *testing.T) {
	for name, c := range map[string]struct {
		send func(*router, Request, string) (Outcome, error)
		runs int
	}{
		"read back": {(*router).send, 1},
		"naive":     {(*router).naive, 2},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, w *cluster) {
				is := is.New(t)
				a, b := w.router("a"), w.router("b")
				barrier := make(chan struct{}) // both are about to append
				a.onStep(beforeIntent, func() { barrier <- struct{}{} })
				b.onStep(beforeIntent, func() { <-barrier })
				bodies := make(chan string, 2)
				for i, r := range []*router{a, b} {
					go func() {
						out, err := c.send(r, request("k"), string(rune('0'+i)))
						is.NoErr(err)
						bodies <- string(out.Body)
					}()
				}
				one, two := <-bodies, <-bodies
				is.Equal(w.target.count("k"), c.runs)
				is.Equal(one == two, c.runs == 1)
			})
		})
	}
}

// Guards against an earlier request that runs after another router has returned
// "not run" to the caller.
func TestNotRunClosesTheKeyToEarlierRequests(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		is := is.New(t)
		a, b := w.router("a"), w.router("b")
		paused := make(chan func(), 1)
		a.onStep(beforeIntent, func() { paused <- a.pause() })
		result := make(chan string, 1)
		go func() {
			out, err := a.send(request("k"), "early")
			result <- resultKind(out, err)
		}()
		<-time.After(time.Second)
		out, err := b.Run(w.ctx, request("k"), func(context.Context, string) (Outcome, error) {
			return Outcome{}, &port.NotRunError{Target: "t"}
		})
		is.Equal(resultKind(out, err), "not run")
		(<-paused)()
		is.Equal(<-result, "may have run")
		is.Equal(w.target.count("k"), 0)
		out, err = a.send(request("k"), "later")
		is.Equal(resultKind(out, err), "ok")
	})
}

// Guards against a slow log that is treated as unavailable.
func TestSlowLog(t *testing.T) {
	inCluster(t, func(t *testing.T, w *cluster) {
		is := is.New(t)
		w.log.SetFaults(portfake.Faults{DelayMS: 2500})
		a := w.router("a")
		<-time.After(time.Minute)
		req := request("k")
		req.Deadline = time.Now().Add(time.Minute)
		is.Equal(resultKind(a.send(req, "first")), "ok")
	})
}
