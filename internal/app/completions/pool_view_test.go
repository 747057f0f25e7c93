package completions

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/retry"
)

// Guards against cached pool views that miss a change of a target's state or of the
// configuration, and against exclusion of the wrong target.
func TestRankingFollowsEveryChange(t *testing.T) {
	cases := map[string]struct {
		change func(b *testRouter, f *filter)
		want   []string
	}{
		"nothing":    {func(*testRouter, *filter) {}, []string{"e1", "e2", "e3"}},
		"leaving":    {func(b *testRouter, _ *filter) { b.targets.SetLeaving(map[string]bool{"e2": true}) }, []string{"e1", "e3"}},
		"weights":    {func(b *testRouter, _ *filter) { b.targets.Observe("e1", "", "v0", 0) }, []string{"e2", "e3"}},
		"circuit":    {func(b *testRouter, _ *filter) { b.circuits.Failure(b.Clock.Now(), "e3", retry.TargetDown) }, []string{"e1", "e2"}},
		"busy":       {func(b *testRouter, _ *filter) { b.setBusy("e1", time.Second) }, []string{"e2", "e3"}},
		"tried":      {func(_ *testRouter, f *filter) { f.tried = map[string]bool{"e2": true} }, []string{"e1", "e3"}},
		"all tried":  {func(_ *testRouter, f *filter) { f.tried = map[string]bool{"e1": true, "e2": true, "e3": true} }, []string{"e1", "e2", "e3"}},
		"other pool": {func(b *testRouter, _ *filter) { b.setBusy("s1", time.Second) }, []string{"e1", "e2", "e3"}},
		"full": {func(b *testRouter, _ *filter) {
			for range 6 { // the slots plus the overcommit
				b.limits.StartTarget("e2")
			}
		}, []string{"e1", "e3"}},
		"tried, the others excluded": {func(b *testRouter, f *filter) {
			f.tried = map[string]bool{"e2": true}
			b.setBusy("e1", time.Second)
			b.targets.SetLeaving(map[string]bool{"e3": true})
		}, []string{"e2"}},
		"configuration": {func(b *testRouter, _ *filter) {
			next := *b.snap
			ref := config.Ref{Team: "kabelgang", Name: "ledger-lm"}
			pool := next.Pools[ref]
			pool.Targets = pool.Targets[1:]
			next.Pools = map[config.Ref]config.Pool{ref: pool}
			b.Source = fixedSource{&next}
		}, []string{"e2", "e3"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
				rank := func(f filter) (names []string) {
					p, err := b.planCompletion(CompletionRequest{Account: testAccount, Model: "ledger", Prompt: "p"})
					is.NoErr(err)
					f.weights = "v1"
					for _, s := range b.rank(b.Clock.Now(), p, f).scores {
						names = append(names, s.Target)
					}
					return names
				}
				is.Equal(rank(filter{}), []string{"e1", "e2", "e3"})
				var f filter
				c.change(b, &f)
				is.Equal(rank(f), c.want)
			})
		})
	}
}
