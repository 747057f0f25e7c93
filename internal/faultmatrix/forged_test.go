package faultmatrix

import (
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/harness"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// TestForgedObservations guards against checks that cannot fail: each forged
// observation breaks one invariant, which must object.
func TestForgedObservations(t *testing.T) {
	const prompt, other, tokens = "a prompt", "another prompt", 5
	whole := harness.Response{Status: 200, Done: true, NextIndex: tokens, Text: engine.AnswerText(prompt, harness.InitialWeightsVersion, 0, tokens)}
	with := func(change func(*harness.Response)) []seenStream {
		a := whole
		change(&a)
		return []seenStream{{id: "r", account: harness.AccountOne, prompt: prompt, tokens: tokens, mustBeWhole: true, answer: a}}
	}
	scope := harness.Team + "/" + harness.AccountOne + "/" + harness.Model + "/" + harness.InitialWeightsVersion + "/"
	run := func(scope string, cached int) engineRun {
		return engineRun{"engine-1", engine.Run{RequestID: "r", Scope: scope, WeightsVersion: harness.InitialWeightsVersion, CachedTokens: cached}}
	}
	ok := harness.Response{Status: 200, Body: "first"}
	for _, c := range []struct {
		name, invariant string
		forged          observation
	}{
		{"done without the last chunk", invariants[0].name, observation{streams: with(func(a *harness.Response) { a.Text = a.Text[:4] })}},
		{"chunks out of order", invariants[0].name, observation{streams: with(func(a *harness.Response) { a.Gap = true })}},
		{"error event and done", invariants[0].name, observation{streams: with(func(a *harness.Response) { a.Broken = true })}},
		{"quiet end", invariants[0].name, observation{streams: with(func(a *harness.Response) { a.Done = false })}},
		{"answer to another prompt", invariants[1].name, observation{streams: with(func(a *harness.Response) {
			a.Text = engine.AnswerText(other, harness.InitialWeightsVersion, 0, tokens)
		})}},
		{"refused although others live", invariants[2].name, observation{streams: with(func(a *harness.Response) { *a = harness.Response{Status: 503} })}},
		{"ran twice", invariants[3].name, observation{effects: map[string]int{"k": 2}}},
		{"two outcomes", invariants[3].name, observation{effects: map[string]int{"k": 1},
			calls: []seenCall{{key: "k", answer: ok}, {key: "k", answer: harness.Response{Status: 200, Body: "second"}}}}},
		{"an outcome of nothing", invariants[3].name, observation{calls: []seenCall{{key: "k", answer: ok}}}},
		{"not_run, but it ran", invariants[4].name, observation{calls: []seenCall{{key: "k", effects: 1,
			answer: harness.Response{Status: 503, Outcome: "not_run"}}}}},
		{"blocks of another account", invariants[5].name, observation{streams: with(func(*harness.Response) {}),
			runs: []engineRun{run("demo/planners/demo-lm/v1/", 0), run(scope, 2)}}},
		{"scope of another account", invariants[5].name, observation{streams: with(func(*harness.Response) {}),
			runs: []engineRun{run("demo/planners/demo-lm/v1/", 0)}}},
		{"value comes back", invariants[6].name, observation{config: map[string][]seenConfig{"router-1": {{1, "a"}, {2, "b"}, {3, "a"}}}}},
		{"offset falls", invariants[6].name, observation{config: map[string][]seenConfig{"router-1": {{2, "a"}, {1, "a"}}}}},
		{"not in force in the end", invariants[6].name, observation{live: []string{"router-1"}, finalValue: "b",
			config: map[string][]seenConfig{"router-1": {{1, "a"}}}}},
		{"two winners of a race", invariants[6].name, observation{racesWon: []int{2}}},
		{"work for a leaving target", invariants[7].name, observation{leavingRuns: []string{"r"}}},
		{"stale order executed", invariants[8].name, observation{orders: map[string][]uint64{"engine-1": {2, 1}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.forged.weights = []string{harness.InitialWeightsVersion}
			for _, i := range invariants {
				if i.name == c.invariant {
					is.True(len(i.check(&c.forged)) > 0) // the check must object
				}
			}
		})
	}
	t.Run("nothing wrong", func(t *testing.T) {
		is := is.New(t)
		good := observation{weights: []string{harness.InitialWeightsVersion}, streams: with(func(*harness.Response) {}),
			runs: []engineRun{run(scope, 0), run(scope, 2)}, effects: map[string]int{"k": 1},
			calls:      []seenCall{{key: "k", answer: ok, effects: 1}},
			finalValue: "b", live: []string{"router-1"}, accepted: []uint64{2},
			config: map[string][]seenConfig{"router-1": {{1, "a"}, {2, "b"}}}, racesWon: []int{1},
			orders: map[string][]uint64{"engine-1": {1, 2}}}
		for _, i := range invariants {
			is.Equal(i.check(&good), nil) // a sound observation must pass
		}
	})
}
