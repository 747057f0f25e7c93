package completions

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against shared state of different targets that have the same name in two
// teams, and against separate states of one target that is in two pools.
func TestTargetsAreIdentifiedByAddress(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
		other, shared := config.Ref{Team: "kaisla", Name: "app"}, config.Ref{Team: "kabelgang", Name: "second"}
		add := func(account config.Ref, address string) {
			pool := config.Ref{Team: account.Team, Name: account.Name + "-pool"}
			b.snap.Pools[pool] = config.Pool{Kind: config.PoolEngine, WeightsVersion: "v1", Slots: 4,
				Targets: []config.PoolTarget{{Name: "e1", Address: address}}}
			b.snap.Routes[config.Ref{Team: account.Team, Name: account.Name}] = config.Route{Pool: pool.Name, Model: account.Name, TimeoutMs: 60000}
			b.snap.Accounts[account] = config.Account{Routes: []string{account.Name}}
		}
		add(other, "other:1")
		add(shared, "e1")
		b.Placer = placement.New(placement.DefaultSettings())
		b.targets.placer = b.Placer
		prompt := strings.Repeat("dossier ", 1000)
		run := func(account config.Ref, model string) (port.Generation, error) {
			_, err := b.Completion(t.Context(), CompletionRequest{Account: account, Model: model, Prompt: prompt, MaxTokens: 2}, &textSink{})
			return b.engine.sent[len(b.engine.sent)-1].g, err
		}
		// Only the engine of the first team has an observed incarnation.
		b.targets.Observe("e1", "i1", "v1", 0)
		b.targets.SetLeaving(map[string]bool{"e2": true, "e3": true})
		b.engine.scripts["other:1"] = func(ctx context.Context, g port.Generation) (port.ChunkStream, error) {
			s := newStream(ctx, g)
			s.inc = "other incarnation"
			return s, nil
		}
		for range 2 {
			_, err := run(testAccount, "ledger")
			is.NoErr(err)
			_, err = run(other, "app")
			is.NoErr(err)
		}
		is.Equal(b.targets.State("e1").Incarnation, port.Incarnation("i1"))
		is.Equal(b.targets.State("other:1").Incarnation, port.Incarnation("other incarnation"))

		// A failure and a leaving mark apply to the target in both of its pools, but
		// not to the target with the same name in the other team.
		b.circuits.Failure(b.Clock.Now(), "e1", retry.TargetDown)
		b.limits.StartTarget("e1")
		for account, want := range map[config.Ref]map[string]string{other: {}, shared: {"e1": excludedCircuit}} {
			e, err := b.Explain(t.Context(), CompletionRequest{Account: account, Model: account.Name, Prompt: prompt, MaxTokens: 2})
			is.NoErr(err)
			is.Equal(e.Excluded, want)
			is.Equal(len(e.Candidates), 1-len(want))
			for _, c := range e.Candidates {
				is.Equal(c.Target, "e1") // explanations contain names, not addresses
			}
		}
		b.targets.SetLeaving(map[string]bool{"e1": true})
		_, err := run(other, "app")
		is.NoErr(err)
		is.Equal(b.engine.sent[len(b.engine.sent)-1].address, "other:1")
	})
}
