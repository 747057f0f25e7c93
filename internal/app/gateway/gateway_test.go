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
	notRun      = reply{err: &port.NotRunError{Target: "t", Reason: port.NotRunOverloaded}}
	unreachable = reply{err: &port.NotRunError{Target: "t", Reason: port.NotRunUnreachable}}
	unknown     = reply{err: &port.UnknownOutcomeError{Peer: "t"}}
	failing     = reply{status: http.StatusInternalServerError, body: "failed"}
	fine        = reply{status: http.StatusOK, body: event1}
	truncated   = reply{status: http.StatusOK, body: "half", broken: true}
	silent      = reply{silent: true}
)

// Guards against a second run of a request that may run once, a "not run" outcome of one
// that may have run, and a failure that a retry on another target would have avoided.
func TestRequestOutcomes(t *testing.T) {
	cases := map[string]struct {
		route    string
		replies  []reply
		attempts int
		// status is the target's status that is relayed to the client, 0: none.
		status int
		kind   Kind
	}{
		"booking succeeded":                   {"book", []reply{fine}, 1, 200, 0},
		"booking refused, then succeeded":     {"book", []reply{notRun, fine}, 2, 200, 0},
		"booking unreachable, then succeeded": {"book", []reply{unreachable, unreachable, fine}, 3, 200, 0},
		"booking refused everywhere":          {"book", []reply{notRun, notRun, notRun, notRun, fine}, 3, 0, KindRefused},
		"booking of unknown outcome":          {"book", []reply{unknown, fine}, 1, 0, KindUnknown},
		"booking refused, then unknown":       {"book", []reply{notRun, unknown, fine}, 2, 0, KindUnknown},
		"booking with a truncated response":   {"book", []reply{truncated, fine}, 1, 0, KindUnknown},
		"booking failed by the target":        {"book", []reply{failing, fine}, 1, 500, 0},
		"booking without a response":          {"book", []reply{silent, fine}, 1, 0, KindTimeout},
		"lookup of unknown outcome":           {"look", []reply{unknown, fine}, 2, 200, 0},
		"lookup failed once":                  {"look", []reply{failing, fine}, 2, 200, 0},
		"lookup failed twice":                 {"look", []reply{failing, failing, fine}, 2, 500, 0},
		"lookup with a truncated response":    {"look", []reply{truncated, fine}, 2, 200, 0},
		"lookup without a response":           {"look", []reply{silent, fine}, 2, 200, 0},
		"lookup unknown twice":                {"look", []reply{unknown, unknown, fine}, 2, 0, KindUnknown},
		"brief of unknown outcome":            {"brief", []reply{unknown, fine}, 1, 0, KindUnknown},
		"brief refused, then succeeded":       {"brief", []reply{notRun, fine}, 2, 200, 0},
		"check of unknown outcome":            {"check", []reply{unknown, fine}, 2, 200, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t, c.replies...)
				out, err := w.send(t.Context(), c.route)
				is.Equal(out.status, c.status)
				is.Equal(len(w.targets.sent()), c.attempts)
				if c.status == 0 {
					is.Equal(failureOf(err).Kind, c.kind)
					return
				}
				is.NoErr(err)
			})
		})
	}
}

// Guards against requests with a key that may have been revoked, a route or key rejected
// for good on a stale configuration, and a configuration in use after its bound.
func TestKeysAndRoutesWithStaleConfiguration(t *testing.T) {
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
				w := newTestGateway(t)
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

// Guards against an older configuration replacing a newer one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	w.SetConfiguration(testConfiguration(9))
	w.SetConfiguration(testConfiguration(4))
	is.Equal(w.Configuration().Version, int64(9))
}

// Guards against a refusal that is delayed although no target is left.
func TestRequestWithoutTargetsIsRefusedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t)
		for _, id := range []string{"d1", "d2", "d3"} {
			w.Directory.Remove(id)
		}
		time.Sleep(w.Directory.grace)
		start := time.Now()
		_, err := w.send(t.Context(), "book")
		is.Equal(failureOf(err).Kind, KindRefused)
		is.True(time.Since(start) <= 100*time.Millisecond+targetPollInterval) // half of the route's latency objective
		is.Equal(len(w.targets.sent()), 0)
	})
}

// Guards against an attempt that goes on after the client disconnected.
func TestDisconnectedClientEndsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t, silent, fine)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(300*time.Millisecond, cancel)
		_, err := w.send(ctx, "look")
		is.Equal(failureOf(err).Kind, KindClientGone)
		is.Equal(len(w.targets.sent()), 1)
	})
}

// Guards against requests on weights older than the bound, and attempts that do not make
// the target check its version.
func TestOldWeightsAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t, fine)
		announced := time.Now()
		w.DesiredVersion = func(string) (int, time.Time) { return 2, announced }
		time.Sleep(7 * time.Second)
		w.MarkVerified(time.Now())
		_, err := w.send(t.Context(), "check")
		is.Equal(failureOf(err).Kind, KindRefused)
		w.Directory.SetWeights("e2", map[string]int{testModel: 2})
		_, err = w.send(t.Context(), "check")
		is.NoErr(err)
		w.sentOnce(is, "e2", 2)
		is.Equal(w.targets.sent()[0].CacheScope, "v2/"+w.Configuration().CacheScope(nil))
	})
}

// Guards against retries beyond the service's budget when all targets fail at once.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var replies []reply
		for range 400 {
			replies = append(replies, unknown)
		}
		w := newTestGateway(t, replies...)
		for range 100 {
			_, _ = w.send(t.Context(), "look") // every attempt fails
		}
		retries := len(w.targets.sent()) - 100
		is.True(retries <= 50+20)
	})
}

// Guards against a target's error response that is lost because it was dropped for a retry
// that was not made or failed in another way.
func TestFailureOfATargetIsRelayed(t *testing.T) {
	cases := map[string]struct {
		replies []reply
		// spent uses up the retry budget first.
		spent    bool
		attempts int
	}{
		"no retry left":        {[]reply{failing}, true, 1},
		"the retry is refused": {[]reply{failing, notRun, notRun, notRun, notRun}, false, 4},
		"the retry is lost":    {[]reply{failing, unknown}, false, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t, c.replies...)
				for c.spent && w.spendRetryBudget("desk") {
					continue
				}
				out, err := w.send(t.Context(), "look")
				is.NoErr(err)
				is.Equal(out.status, http.StatusInternalServerError)
				is.Equal(out.body.String(), failing.body)
				is.True(len(w.targets.sent()) <= c.attempts)
			})
		})
	}
}

// Guards against refused clients that all retry at the same time.
func TestRetryAfterIsJittered(t *testing.T) {
	is := is.New(t)
	seen := map[time.Duration]bool{}
	for range 50 {
		after := jitter(shortRetryAfter)
		is.True(after >= shortRetryAfter/2 && after <= shortRetryAfter*3/2)
		seen[after] = true
	}
	is.True(len(seen) > 10)
}

// Guards against a target whose circuit opens because a client's deadline passed.
func TestDeadlineWhileConnectingIsNoFailureOfTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t, reply{silent: true, err: &port.NotRunError{Target: "t", Reason: port.NotRunUnreachable}})
		_, err := w.send(t.Context(), "book")
		is.Equal(failureOf(err).Kind, KindRefused)
		is.Equal(len(w.circuits.Unusable(time.Now())), 0)
	})
}

// Guards against a leaving target that gets requests after its bound, in deployments with
// a bound below the longest interval between two reads of the entries.
func TestLeavingGrace(t *testing.T) {
	is := is.New(t)
	is.Equal(LeavingGrace(2500*time.Millisecond, 800*time.Millisecond), 1200*time.Millisecond)
	is.Equal(LeavingGrace(900*time.Millisecond, 300*time.Millisecond), 100*time.Millisecond)
	is.Equal(LeavingGrace(500*time.Millisecond, 160*time.Millisecond), time.Duration(0))
}

// Guards against long prefills that are not announced to other routers, and announcements
// of short or cached ones.
func TestLongPromptsAreAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t, fine, fine, fine)
		var announced []int
		w.AnnouncePrefill = func(_ string, tokens int) { announced = append(announced, tokens) }
		_, err := w.send(t.Context(), "check") // 900 tokens
		is.NoErr(err)
		is.Equal(len(announced), 0)
		long := &Request{ID: "r2", Method: http.MethodPost, URI: "/check/", Path: "/check/", Host: "h", Header: http.Header{}, Key: "key",
			Model: testModel, PromptTokens: 9000, Prompt: []port.Segment{{ID: "x", Tokens: 9000}}, Received: time.Now()}
		is.NoErr(w.Serve(t.Context(), long, &recorder{}))
		is.Equal(announced, []int{9000})
	})
}

// Guards against requests on weights older than a version whose bound has passed, while a
// newer one that few targets serve was announced recently.
func TestEachAnnouncedVersionHasItsOwnBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t, fine, fine, fine)
		announced := time.Now()
		w.DesiredVersion = func(string) (int, time.Time) { return 3, announced }
		w.MinVersion = func(string, time.Duration) int { return 2 }
		time.Sleep(2 * time.Second)
		_, err := w.send(t.Context(), "check") // all targets serve version 1
		is.Equal(failureOf(err).Kind, KindRefused)
		w.Directory.SetWeights("e3", map[string]int{testModel: 2})
		_, err = w.send(t.Context(), "check")
		is.NoErr(err)
		w.sentOnce(is, "e3", 2)
	})
}

// Guards against requests that still go to a target which fails some of them while others
// work, when its responses are the only evidence.
func TestFailingTargetIsAvoided(t *testing.T) {
	cases := map[string]struct {
		route  string
		faulty reply
	}{
		"failure responses":         {"book", reply{status: 500}},
		"no response":               {"book", reply{silent: true}},
		"failures of an engine":     {"brief", reply{status: 500}},
		"truncated responses":       {"book", reply{status: 200, body: "o", broken: true}},
		"failures that are retried": {"look", reply{status: 500}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t)
				w.targets.always = map[string]reply{}
				for _, id := range []string{"e1", "e2", "e3"} {
					w.targets.always["llm-"+id] = reply{status: http.StatusOK, body: event1 + event2}
				}
				_, _ = w.send(t.Context(), c.route)
				first := w.targets.sent()[0].ExpectTarget // the first choice among idle targets
				w.targets.always["desk-"+first], w.targets.always["llm-"+first] = c.faulty, c.faulty
				for range 20 {
					<-time.After(100 * time.Millisecond) // the engines finish their prefills
					_, _ = w.send(t.Context(), c.route)
				}
				n := 0
				for _, a := range w.targets.sent()[1:] {
					if a.ExpectTarget == first {
						n++
					}
				}
				is.True(n > 0)
				is.True(n < 10) // most requests go to other targets
			})
		})
	}
}

// Guards against requests that are sent to engines which cannot respond before the
// deadline, and against refusals without a retry time.
func TestOverloadedEnginesGetNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t)
		// Each engine has 20 s of prefill queued by other routers.
		for _, id := range []string{"e1", "e2", "e3"} {
			w.Placer.(*placement.Policy).ObservePeerRequest(w.Clock.Now(), "llm-"+id, 20*placement.DefaultPrefillTokensPerSecond, placement.DefaultPrefillTokensPerSecond)
		}
		_, err := w.send(t.Context(), "check")
		f := failureOf(err)
		is.Equal(f.Kind, KindRefused)
		is.True(f.RetryAfter > 2*time.Second) // at least half of the queue
		is.Equal(len(w.targets.sent()), 0)
		_, err = w.send(t.Context(), "book") // plain targets are unaffected
		is.NoErr(err)
	})
}

// Guards against requests to an engine that loads weights on the order of another router,
// a pause that outlives the load, and announcements of versions that nobody has named.
func TestAnnouncedLoadsPauseTargets(t *testing.T) {
	cases := map[string]struct {
		announced []port.TargetLoading
		wait      time.Duration
		paused    bool
		weights   int
	}{
		"loading":            {[]port.TargetLoading{{Target: "e1", Model: testModel, Version: 2, Pause: time.Second}}, 0, true, 1},
		"pause over":         {[]port.TargetLoading{{Target: "e1", Model: testModel, Version: 2, Pause: time.Second}}, time.Second, false, 1},
		"pause is bounded":   {[]port.TargetLoading{{Target: "e1", Model: testModel, Version: 2, Pause: time.Hour}}, maxLoadingPause, false, 1},
		"loaded":             {[]port.TargetLoading{{Target: "e1", Model: testModel, Version: 2, Pause: time.Second}, {Target: "e1", Model: testModel, Version: 2}}, 0, false, 2},
		"version not named":  {[]port.TargetLoading{{Target: "e1", Model: testModel, Version: 3, Pause: time.Second}, {Target: "e1", Model: testModel, Version: 3}}, 0, false, 1},
		"another model":      {[]port.TargetLoading{{Target: "e1", Model: "other", Version: 2, Pause: time.Second}}, 0, false, 1},
		"negative version":   {[]port.TargetLoading{{Target: "e1", Model: testModel, Version: -2, Pause: time.Second}}, 0, false, 1},
		"target not known":   {[]port.TargetLoading{{Target: "e9", Model: testModel, Version: 2, Pause: time.Second}}, 0, false, 1},
		"older announcement": {[]port.TargetLoading{{Target: "e1", Model: testModel, Version: 2}, {Target: "e1", Model: testModel, Version: 1}}, 0, false, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t)
				w.DesiredVersion = func(model string) (int, time.Time) {
					if model == testModel {
						return 2, time.Now()
					}
					return 0, time.Time{}
				}
				for _, l := range c.announced {
					w.ObserveLoading(l)
				}
				time.Sleep(c.wait)
				e1 := w.Directory.Service("llm")[0]
				is.Equal(e1.PausedUntil.After(time.Now()), c.paused)
				is.Equal(e1.Weights[testModel], c.weights)
			})
		})
	}
}

// Guards against a router that sends one request after the other to an engine that loads
// newer weights, although other engines are free.
func TestRefusingEngineIsSkippedWhileItLoads(t *testing.T) {
	loading := &port.NotRunError{Target: "t", Reason: port.NotRunOverloaded, Load: &port.LoadReport{Running: 3, Slots: 8}}
	full := &port.NotRunError{Target: "t", Reason: port.NotRunOverloaded, Load: &port.LoadReport{Running: 8, Waiting: 4, Slots: 8}}
	cases := map[string]struct {
		err     error
		desired int
		paused  bool
	}{
		"loads newer weights":  {loading, 2, true},
		"full":                 {full, 2, false},
		"serves the newest":    {loading, 1, false},
		"load is not reported": {&port.NotRunError{Target: "t", Reason: port.NotRunOverloaded}, 2, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t, reply{err: c.err}, fine)
				w.DesiredVersion = func(string) (int, time.Time) { return c.desired, time.Now() }
				_, err := w.send(t.Context(), "check")
				is.NoErr(err)
				time.Sleep(busyBackoff)
				first := w.targets.sent()[0].ExpectTarget
				for _, e := range w.Directory.Service("llm") {
					is.Equal(e.PausedUntil.After(time.Now()), c.paused && e.ID == first)
				}
			})
		})
	}
}

// Guards against log lines that lack the parts of a prompt by which a report finds out what
// was prefilled again.
func TestSharedPartsAreLogged(t *testing.T) {
	is := is.New(t)
	for want, prompt := range map[string][]port.Segment{
		"":          nil,
		"a:600":     {{ID: "a", Tokens: 600}, {ID: "own", Tokens: 9}},
		"a:600 b:5": {{ID: "a", Tokens: 600}, {ID: "b", Tokens: 5}, {ID: "own", Tokens: 9}},
	} {
		is.Equal((&exchange{r: &Request{Prompt: prompt}}).sharedParts(), want)
	}
}
