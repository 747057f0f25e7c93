package faultmatrix

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/harness"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// TestForgedObservations guards against checks that cannot fail: each forged
// observation violates one invariant, whose check must report it.
func TestForgedObservations(t *testing.T) {
	const prompt, other, tokens = "a prompt", "another prompt", 5
	complete := harness.Response{Status: 200, Done: true, NextIndex: tokens, Text: engine.ResponseText(prompt, harness.InitialWeightsVersion, 0, tokens)}
	with := func(change func(*harness.Response)) []streamRecord {
		resp := complete
		change(&resp)
		return []streamRecord{{id: "r", account: harness.AccountOne, prompt: prompt, tokens: tokens, mustComplete: true, response: resp}}
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
		{"[DONE] without the last chunk", invariants[0].name, observation{streams: with(func(resp *harness.Response) { resp.Text = resp.Text[:4] })}},
		{"[DONE] without the last chunk on a connection that broke", invariants[0].name, observation{streams: with(func(resp *harness.Response) {
			resp.Text, resp.Err = resp.Text[:4], io.ErrUnexpectedEOF
		})}},
		{"[DONE] and a malformed end", invariants[0].name, observation{streams: with(func(resp *harness.Response) { resp.Err = errors.New("malformed chunked encoding") })}},
		{"[DONE] and no end", invariants[0].name, observation{streams: with(func(resp *harness.Response) { resp.Err = context.DeadlineExceeded })}},
		{"connection that broke after [DONE] although the response must be complete", invariants[2].name, observation{streams: with(func(resp *harness.Response) { resp.Err = io.ErrUnexpectedEOF })}},
		{"process that ended by itself", "processes run until they are stopped", observation{unexpectedExits: []string{"engine-1"}}},
		{"chunks out of order", invariants[0].name, observation{streams: with(func(resp *harness.Response) { resp.Gap = true })}},
		{"error event and [DONE]", invariants[0].name, observation{streams: with(func(resp *harness.Response) { resp.Broken = true })}},
		{"end without a terminal marker", invariants[0].name, observation{streams: with(func(resp *harness.Response) { resp.Done = false })}},
		{"completion of another prompt", invariants[1].name, observation{streams: with(func(resp *harness.Response) {
			resp.Text = engine.ResponseText(other, harness.InitialWeightsVersion, 0, tokens)
		})}},
		{"refused although other targets are live", invariants[2].name, observation{streams: with(func(resp *harness.Response) { *resp = harness.Response{Status: 503} })}},
		{"ran twice", invariants[3].name, observation{effects: map[string]int{"k": 2}}},
		{"two outcomes", invariants[3].name, observation{effects: map[string]int{"k": 1},
			calls: []callRecord{{key: "k", response: ok}, {key: "k", response: harness.Response{Status: 200, Body: "second"}}}}},
		{"outcome without an effect", invariants[3].name, observation{calls: []callRecord{{key: "k", response: ok}}}},
		{"not_run, but it ran", invariants[4].name, observation{calls: []callRecord{{key: "k", effects: 1,
			response: harness.Response{Status: 503, Outcome: "not_run"}}}}},
		{"blocks of another account", invariants[5].name, observation{streams: with(func(*harness.Response) {}),
			runs: []engineRun{run("demo/planners/demo-lm/v1/", 0), run(scope, 2)}}},
		{"scope of another account", invariants[5].name, observation{streams: with(func(*harness.Response) {}),
			runs: []engineRun{run("demo/planners/demo-lm/v1/", 0)}}},
		{"value reverts", invariants[6].name, observation{config: map[string][]configState{"router-1": {{1, "a"}, {2, "b"}, {3, "a"}}}}},
		{"offset decreases", invariants[6].name, observation{config: map[string][]configState{"router-1": {{2, "a"}, {1, "a"}}}}},
		{"not in force at the end", invariants[6].name, observation{live: []string{"router-1"}, finalValue: "b",
			config: map[string][]configState{"router-1": {{1, "a"}}}}},
		{"two operators succeed with one base revision", invariants[6].name, observation{acceptedPerRace: []int{2}}},
		{"request to a leaving target", invariants[7].name, observation{leavingRuns: []string{"r"}}},
		{"stale order executed", invariants[8].name, observation{orders: map[string][]uint64{"engine-1": {2, 1}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.forged.weights = []string{harness.InitialWeightsVersion}
			found := false
			for _, i := range invariants {
				if i.name == c.invariant {
					found = true
					is.True(len(i.check(&c.forged)) > 0) // the check must report a violation
				}
			}
			is.True(found)
		})
	}
	t.Run("interrupted after [DONE]", func(t *testing.T) {
		is := is.New(t)
		for _, err := range []error{io.ErrUnexpectedEOF, &net.OpError{Op: "read", Err: syscall.ECONNRESET}, context.Canceled} {
			interrupted := observation{weights: []string{harness.InitialWeightsVersion}, streams: with(func(resp *harness.Response) { resp.Err = err })}
			is.Equal(checkStreams(&interrupted), nil) // the text is complete
		}
	})
	t.Run("valid observation", func(t *testing.T) {
		is := is.New(t)
		good := observation{weights: []string{harness.InitialWeightsVersion}, streams: with(func(*harness.Response) {}),
			runs: []engineRun{run(scope, 0), run(scope, 2)}, effects: map[string]int{"k": 1},
			calls:      []callRecord{{key: "k", response: ok, effects: 1}},
			finalValue: "b", live: []string{"router-1"}, accepted: []uint64{2},
			config: map[string][]configState{"router-1": {{1, "a"}, {2, "b"}}}, acceptedPerRace: []int{1},
			orders: map[string][]uint64{"engine-1": {1, 2}}}
		for _, i := range invariants {
			is.Equal(i.check(&good), nil) // a valid observation must pass
		}
	})
}
