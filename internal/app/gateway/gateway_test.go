package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

var (
	notRun  = reply{err: &port.NotRunError{Target: "t", Reason: port.NotRunOverloaded}}
	noReach = reply{err: &port.NotRunError{Target: "t", Reason: port.NotRunUnreachable}}
	unknown = reply{err: &port.UnknownOutcomeError{Peer: "t"}}
	failing = reply{status: http.StatusInternalServerError, body: "failed"}
	fine    = reply{status: http.StatusOK, body: event1}
	cut     = reply{status: http.StatusOK, body: "half", broken: true}
	silent  = reply{silent: true}
)

// Guards against a second run of what may run once, a promise of "not run" for
// what may have run, and a failure that another target would have spared.
func TestFateOfARequest(t *testing.T) {
	cases := map[string]struct {
		route   string
		replies []reply
		sends   int
		// status is the target's status that the client gets, 0: none.
		status int
		kind   Kind
	}{
		"booking answered":                   {"book", []reply{fine}, 1, 200, 0},
		"booking refused, then answered":     {"book", []reply{notRun, fine}, 2, 200, 0},
		"booking unreachable, then answered": {"book", []reply{noReach, noReach, fine}, 3, 200, 0},
		"booking refused everywhere":         {"book", []reply{notRun, notRun, notRun, notRun, fine}, 3, 0, KindRefused},
		"booking of unknown outcome":         {"book", []reply{unknown, fine}, 1, 0, KindUnknown},
		"booking refused, then unknown":      {"book", []reply{notRun, unknown, fine}, 2, 0, KindUnknown},
		"booking cut in the answer":          {"book", []reply{cut, fine}, 1, 0, KindUnknown},
		"booking failed by the target":       {"book", []reply{failing, fine}, 1, 500, 0},
		"booking without an answer":          {"book", []reply{silent, fine}, 1, 0, KindTimeout},
		"lookup of unknown outcome":          {"look", []reply{unknown, fine}, 2, 200, 0},
		"lookup failed once":                 {"look", []reply{failing, fine}, 2, 200, 0},
		"lookup failed twice":                {"look", []reply{failing, failing, fine}, 2, 500, 0},
		"lookup cut in the answer":           {"look", []reply{cut, fine}, 2, 200, 0},
		"lookup without an answer":           {"look", []reply{silent, fine}, 2, 200, 0},
		"lookup unknown twice":               {"look", []reply{unknown, unknown, fine}, 2, 0, KindUnknown},
		"brief of unknown outcome":           {"brief", []reply{unknown, fine}, 1, 0, KindUnknown},
		"brief refused, then answered":       {"brief", []reply{notRun, fine}, 2, 200, 0},
		"check of unknown outcome":           {"check", []reply{unknown, fine}, 2, 200, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, c.replies...)
				out, err := w.send(t.Context(), c.route)
				is.Equal(out.status, c.status)
				is.Equal(len(w.targets.sent()), c.sends)
				if c.status == 0 {
					is.Equal(failureOf(err).Kind, c.kind)
					return
				}
				is.NoErr(err)
			})
		})
	}
}

// Guards against a key that is served although it may have been taken away, a
// route or key refused for good on old knowledge, and knowledge that is served
// after the bound.
func TestKeysAndRoutesOnOldKnowledge(t *testing.T) {
	cases := map[string]struct {
		age        time.Duration
		route, key string
		kind       Kind
		answered   bool
	}{
		"fresh":                    {0, "book", "key", 0, true},
		"old but within the bound": {4 * time.Second, "book", "key", 0, true},
		"beyond the bound":         {5*time.Second + 1, "book", "key", KindRefused, false},
		"unknown key":              {0, "book", "other", KindNoAccount, false},
		"key that may be new":      {3 * time.Second, "book", "other", KindRefused, false},
		"unknown route":            {0, "none", "key", KindNoRoute, false},
		"route that may be new":    {3 * time.Second, "none", "key", KindRefused, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				time.Sleep(c.age)
				r := &Request{ID: "r", Method: http.MethodPost, URI: "/" + c.route + "/", Path: "/" + c.route + "/", Host: "h",
					Header: http.Header{}, Key: c.key, Received: time.Now()}
				err := w.Serve(t.Context(), r, &recorder{})
				is.Equal(err == nil, c.answered)
				if err != nil {
					is.Equal(failureOf(err).Kind, c.kind)
				}
				ready, _ := w.Ready()
				is.Equal(ready, c.age <= 5*time.Second)
			})
		})
	}
}

// Guards against a configuration that goes back.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.SetConfiguration(testConfiguration(9))
	w.SetConfiguration(testConfiguration(4))
	is.Equal(w.Configuration().Version, int64(9))
}

// Guards against a final answer that is held back when no target is left.
func TestRequestWithoutTargetsIsRefusedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		for _, id := range []string{"d1", "d2", "d3"} {
			w.Directory.Remove(id)
		}
		time.Sleep(w.Directory.grace)
		begun := time.Now()
		_, err := w.send(t.Context(), "book")
		is.Equal(failureOf(err).Kind, KindRefused)
		is.True(time.Since(begun) <= 100*time.Millisecond+holdPoll) // half of the route's objective
		is.Equal(len(w.targets.sent()), 0)
	})
}

// Guards against work for a client that has left.
func TestClientThatLeavesEndsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, silent, fine)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(300*time.Millisecond, cancel)
		_, err := w.send(ctx, "look")
		is.Equal(failureOf(err).Kind, KindGone)
		is.Equal(len(w.targets.sent()), 1)
	})
}

// Guards against requests on weights older than the bound, and a target that is
// not asked to check its version.
func TestOldWeightsAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, fine)
		named := time.Now()
		w.Wanted = func(string) (int, time.Time) { return 2, named }
		time.Sleep(7 * time.Second)
		w.Verify(time.Now())
		_, err := w.send(t.Context(), "check")
		is.Equal(failureOf(err).Kind, KindRefused)
		w.Directory.SetWeights("e2", map[string]int{testModel: 2})
		_, err = w.send(t.Context(), "check")
		is.NoErr(err)
		w.sentOnce(is, "e2", 2)
		is.Equal(w.targets.sent()[0].CacheScope, "v2/")
	})
}

// Guards against repeats beyond the service's bound when all targets fail at once.
func TestRepeatsStayWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var replies []reply
		for range 400 {
			replies = append(replies, unknown)
		}
		w := newWorld(t, replies...)
		for range 100 {
			_, _ = w.send(t.Context(), "look") // fails by design of the fake
		}
		repeats := len(w.targets.sent()) - 100
		is.True(repeats <= 50+20)
	})
}

// Guards against a target's own failure that is replaced by another, because it
// was dropped for a repeat that did not come about or failed otherwise.
func TestFailureOfATargetIsPassedOn(t *testing.T) {
	cases := map[string]struct {
		replies []reply
		// spent uses up the bound on repeats before.
		spent bool
		sends int
	}{
		"no repeat left":        {[]reply{failing}, true, 1},
		"the repeat is refused": {[]reply{failing, notRun, notRun, notRun, notRun}, false, 4},
		"the repeat is lost":    {[]reply{failing, unknown}, false, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, c.replies...)
				for c.spent && w.mayRepeat("desk") {
					continue
				}
				out, err := w.send(t.Context(), "look")
				is.NoErr(err)
				is.Equal(out.status, http.StatusInternalServerError)
				is.Equal(out.body.String(), failing.body)
				is.True(len(w.targets.sent()) <= c.sends)
			})
		})
	}
}

// Guards against refused clients that all come back at the same moment.
func TestRefusedClientsComeBackSpread(t *testing.T) {
	is := is.New(t)
	seen := map[time.Duration]bool{}
	for range 50 {
		after := spreadAfter(comeBackSoon)
		is.True(after >= comeBackSoon/2 && after <= comeBackSoon*3/2)
		seen[after] = true
	}
	is.True(len(seen) > 10)
}

// Guards against a target that is blamed for the end of a client's time.
func TestDeadlineWhileConnectingIsNoFailureOfTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, reply{silent: true, err: &port.NotRunError{Target: "t", Reason: port.NotRunUnreachable}})
		_, err := w.send(t.Context(), "book")
		is.Equal(failureOf(err).Kind, KindRefused)
		is.Equal(len(w.circuits.Unusable(time.Now())), 0)
	})
}

// Guards against a target that gets requests after the time in which it must get
// none, on deployments that leave less time than the interval of the reads.
func TestLeavingGrace(t *testing.T) {
	is := is.New(t)
	is.Equal(LeavingGrace(2500*time.Millisecond, 800*time.Millisecond), 1200*time.Millisecond)
	is.Equal(LeavingGrace(900*time.Millisecond, 300*time.Millisecond), 100*time.Millisecond)
	is.Equal(LeavingGrace(500*time.Millisecond, 160*time.Millisecond), time.Duration(0))
}

// Guards against long prompts of which other routers learn nothing, and messages
// for short or cached ones.
func TestPeersAreToldOfLongPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, fine, fine, fine)
		var told []int
		w.TellStarted = func(_ string, tokens int) { told = append(told, tokens) }
		_, err := w.send(t.Context(), "check") // 900 tokens
		is.NoErr(err)
		is.Equal(len(told), 0)
		long := &Request{ID: "r2", Method: http.MethodPost, URI: "/check/", Path: "/check/", Host: "h", Header: http.Header{}, Key: "key",
			Model: testModel, PromptTokens: 9000, Prompt: []port.Segment{{ID: "x", Tokens: 9000}}, Received: time.Now()}
		is.NoErr(w.Serve(t.Context(), long, &recorder{}))
		is.Equal(told, []int{9000})
	})
}

// Guards against weights below those whose bound is over, while newer ones that
// few targets serve were named just now.
func TestEachNamingHasItsOwnBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, fine, fine, fine)
		named := time.Now()
		w.Wanted = func(string) (int, time.Time) { return 3, named }
		w.Floor = func(string, time.Duration) int { return 2 }
		time.Sleep(2 * time.Second)
		_, err := w.send(t.Context(), "check") // all targets serve version 1
		is.Equal(failureOf(err).Kind, KindRefused)
		w.Directory.SetWeights("e3", map[string]int{testModel: 2})
		_, err = w.send(t.Context(), "check")
		is.NoErr(err)
		w.sentOnce(is, "e3", 2)
	})
}

// Guards against requests that go on to a target that fails a part of them while
// others serve, for lack of evidence other than its answers.
func TestFailingTargetIsPassedOver(t *testing.T) {
	cases := map[string]struct {
		route string
		grey  reply
	}{
		"answers with failures":      {"book", reply{status: 500}},
		"answers nothing":            {"book", reply{silent: true}},
		"engine answers failures":    {"brief", reply{status: 500}},
		"breaks its answers off":     {"book", reply{status: 200, body: "o", broken: true}},
		"failures that are repeated": {"look", reply{status: 500}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				w.targets.always = map[string]reply{}
				for _, id := range []string{"e1", "e2", "e3"} {
					w.targets.always["llm-"+id] = reply{status: http.StatusOK, body: event1 + event2}
				}
				_, _ = w.send(t.Context(), c.route)
				first := w.targets.sent()[0].ExpectTarget // what idle targets are ranked like
				w.targets.always["desk-"+first], w.targets.always["llm-"+first] = c.grey, c.grey
				for range 20 {
					<-time.After(100 * time.Millisecond) // engines read what they were sent
					_, _ = w.send(t.Context(), c.route)
				}
				n := 0
				for _, a := range w.targets.sent()[1:] {
					if a.ExpectTarget == first {
						n++
					}
				}
				is.True(n > 0)
				is.True(n < 10) // most go elsewhere
			})
		})
	}
}

// Guards against requests that are sent to engines which cannot answer before the
// client gives up, and against refusals that do not say when to come back.
func TestOverloadedEnginesAreHeldBackFrom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		// Each engine has 20 s of prompts to read for others.
		for _, id := range []string{"e1", "e2", "e3"} {
			w.Placer.(*placement.Policy).ObservePeerRequest(w.Clock.Now(), "llm-"+id, 20*placement.DefaultPrefillTokensPerSecond, placement.DefaultPrefillTokensPerSecond)
		}
		_, err := w.send(t.Context(), "check")
		f := failureOf(err)
		is.Equal(f.Kind, KindRefused)
		is.True(f.RetryAfter > 2*time.Second) // half of the queue at least
		is.Equal(len(w.targets.sent()), 0)
		_, err = w.send(t.Context(), "book") // plain targets go on
		is.NoErr(err)
	})
}
