package completions_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

var dossier = strings.Repeat("duct 17 runs from shaft 4 to shaft 9; ", 100)

// withAndWithout runs a test twice: with the mechanism under test, where the property
// must hold, and with the mechanism disabled, where the test must detect the
// violation.
func withAndWithout(t *testing.T, test func(t *testing.T, on bool) (holds bool)) {
	for name, on := range map[string]bool{"on": true, "switched off": false} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(test(t, on), on) })
	}
}

// Guards against an attempt that was placed for the cached blocks of one engine
// incarnation and runs on the next one, because the engine restarted between the
// placement and the dispatch.
func TestAttemptPlacedForBlocksOfADeadEngine(t *testing.T) {
	withAndWithout(t, func(t *testing.T, expect bool) bool {
		is := is.New(t)
		s := newSystem(t, 1, 0, nil)
		_, _, err := s.run(t, planner, dossier, 3, nil)
		is.NoErr(err)
		is.True(s.cachedTokens(t, planner, dossier) > 0)
		expected := map[string]port.Incarnation{}
		s.client.before = func(_ string, g *port.Generation) {
			if len(expected) == 0 {
				is.True(g.ExpectIncarnation != "") // placed for the engine's cached blocks
				s.engines[0].Crash(context.Background(), 0)
			}
			expected[g.AttemptID] = g.ExpectIncarnation
			if !expect {
				g.ExpectIncarnation = ""
			}
		}
		text, end, err := s.run(t, planner, dossier, 3, nil)
		is.NoErr(err)
		is.Equal(text, engine.ResponseText(dossier, "v1", 0, 3))
		is.Equal(end.Usage.CachedTokens, 0)
		for _, run := range s.engines[0].Runs() {
			if inc := expected[run.AttemptID]; inc != "" && string(inc) != run.Incarnation {
				return false
			}
		}
		return true
	})
}

// Guards against cached blocks of a crashed engine incarnation that reappear in the
// index through cache events that were in flight during the crash.
func TestLateEventsOfADeadEngine(t *testing.T) {
	withAndWithout(t, func(t *testing.T, incarnations bool) bool {
		is := is.New(t)
		s := newSystem(t, 1, 0, nil)
		_, _, err := s.run(t, planner, dossier, 3, nil)
		is.NoErr(err)
		late, err := s.client.Events(t.Context(), s.address(0), 0, 0)
		is.NoErr(err)
		is.True(len(late.Events) > 0)
		s.engines[0].Crash(t.Context(), 0)
		report, err := s.client.Load(t.Context(), s.address(0))
		is.NoErr(err)
		s.targets.Observe(s.address(0), report.Incarnation, report.WeightsVersion, 0)
		s.placer.ObserveLoad(time.Now(), s.address(0), report)
		is.Equal(s.cachedTokens(t, planner, dossier), 0)
		if !incarnations {
			late.Incarnation = report.Incarnation
		}
		s.placer.ObserveEvents(time.Now(), s.address(0), 0, late)
		return s.cachedTokens(t, planner, dossier) == 0
	})
}

// Guards against a stream that resumes with another weights version than it started
// with. The pool and the idle engine switch to v2 while a stream is open. Then the
// engine of the stream crashes while the router still has v1 recorded for both.
func TestStreamKeepsItsWeightsVersion(t *testing.T) {
	withAndWithout(t, func(t *testing.T, expect bool) bool {
		is := is.New(t)
		clock := engine.NewManualClock(time.Unix(1_700_000_000, 0))
		s := newSystem(t, 2, time.Millisecond, clock)
		for i := range s.engines {
			s.targets.Observe(s.address(i), "", "v1", 0)
		}
		if !expect {
			s.client.before = func(_ string, g *port.Generation) { g.ExpectWeights = "" }
			s.client.hideWeights = true
		}
		const tokens = 8
		active, crashed := 0, false
		text, end, err := s.run(t, planner, dossier, tokens, func(c port.Chunk) {
			switch {
			case c.Index == 2:
				if len(s.engines[0].Runs()) == 0 {
					active = 1
				}
				s.change(func(p *config.Pool) { p.WeightsVersion = "v2" })
				is.NoErr(s.client.Order(t.Context(), s.address(1-active), port.Order{ID: "o", Kind: port.OrderLoadVersion, Version: "v2"}))
			case c.Index == 4 && !crashed:
				crashed = true
				s.engines[active].Crash(context.Background(), 0)
			}
			clock.Advance(time.Millisecond)
		})
		is.NoErr(err)
		is.True(crashed)
		is.True(end.Attempts > 1)
		return text == engine.ResponseText(dossier, "v1", 0, tokens)
	})
}

// Guards against requests after a weights switch that require the old version
// although a target serves the new one, or that reuse cached blocks of the old one.
func TestNewRequestsUseTheNewWeights(t *testing.T) {
	withAndWithout(t, func(t *testing.T, scoped bool) bool {
		is := is.New(t)
		s := newSystem(t, 2, 0, nil)
		for range 2 {
			_, _, err := s.run(t, planner, dossier, 3, nil)
			is.NoErr(err)
		}
		if !scoped {
			s.client.before = func(_ string, g *port.Generation) { g.Scope.WeightsVersion = "v1" }
		}
		for i := range s.engines {
			s.targets.Observe(s.address(i), "", "v1", 0)
		}
		s.change(func(p *config.Pool) { p.WeightsVersion = "v2" })
		text, _, err := s.run(t, planner, dossier, 3, nil) // no target serves the new version yet
		is.NoErr(err)
		is.Equal(text, engine.ResponseText(dossier, "v1", 0, 3))
		is.NoErr(s.client.Order(t.Context(), s.address(1), port.Order{ID: "o", Kind: port.OrderLoadVersion, Version: "v2"}))
		s.targets.Observe(s.address(1), "", "v2", 0)
		text, end, err := s.run(t, planner, dossier, 3, nil)
		is.NoErr(err)
		is.Equal(text, engine.ResponseText(dossier, "v2", 0, 3))
		is.Equal(end.Target, "e2")
		is.Equal(end.Usage.CachedTokens, 0)
		for _, e := range s.engines {
			for _, run := range e.Runs() {
				if !strings.HasSuffix(run.Scope, "/"+run.WeightsVersion+"/") {
					return false
				}
			}
		}
		return true
	})
}

// Guards against a client account that uses cached blocks of another account, which
// would also reveal that account's prompts.
func TestAccountsDoNotShareCachedTokens(t *testing.T) {
	withAndWithout(t, func(t *testing.T, scoped bool) bool {
		is := is.New(t)
		s := newSystem(t, 1, 0, nil)
		if !scoped {
			s.client.before = func(_ string, g *port.Generation) {
				g.Scope.ClientAccount = "everyone"
			}
		}
		_, _, err := s.run(t, planner, dossier, 3, nil)
		is.NoErr(err)
		_, end, err := s.run(t, planner, dossier, 3, nil)
		is.NoErr(err)
		is.True(end.Usage.CachedTokens > 0)
		is.Equal(s.cachedTokens(t, other, dossier), 0)
		_, end, err = s.run(t, other, dossier, 3, nil)
		is.NoErr(err)
		return end.Usage.CachedTokens == 0
	})
}
