package placement

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

var prompt = []port.Segment{{ID: "a", Tokens: 1000}, {ID: "b", Tokens: 500}, {ID: "own", Tokens: 200}}

func stored(epoch, next uint64, events ...port.SegmentEvent) port.SegmentEvents {
	return port.SegmentEvents{Epoch: epoch, Next: next, Events: events}
}

// Guards against parts that count as cached after they were evicted, after a
// restart, across a gap, under another scope, or without those before them.
func TestCacheIndex(t *testing.T) {
	now := time.Unix(100, 0)
	a, b := port.SegmentEvent{Scope: "s", SegmentID: "a", Tokens: 1000}, port.SegmentEvent{Scope: "s", SegmentID: "b", Tokens: 500}
	partA := port.SegmentEvent{Scope: "s", SegmentID: "a", Tokens: 128}
	evicted := port.SegmentEvent{Scope: "s", SegmentID: "a"}
	cases := map[string]struct {
		reads []port.SegmentEvents
		scope string
		want  int
	}{
		"nothing":                {[]port.SegmentEvents{stored(1, 1)}, "s", 0},
		"both":                   {[]port.SegmentEvents{stored(1, 1, a, b)}, "s", 1500},
		"second without first":   {[]port.SegmentEvents{stored(1, 1, b)}, "s", 0},
		"first in part":          {[]port.SegmentEvents{stored(1, 1, a, b), stored(1, 2, partA)}, "s", 128},
		"first evicted":          {[]port.SegmentEvents{stored(1, 1, a, b), stored(1, 2, evicted)}, "s", 0},
		"another scope":          {[]port.SegmentEvents{stored(1, 1, a, b)}, "other", 0},
		"restarted":              {[]port.SegmentEvents{stored(1, 1, a, b), stored(2, 1)}, "s", 0},
		"events were lost":       {[]port.SegmentEvents{stored(1, 1, a), {Epoch: 1, Next: 9, Lost: true, Events: []port.SegmentEvent{b}}}, "s", 0},
		"first again after loss": {[]port.SegmentEvents{{Epoch: 1, Next: 9, Lost: true}, stored(1, 10, a)}, "s", 1000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ix := NewCacheIndex()
			for _, r := range c.reads {
				ix.Observe(now, "x", r)
			}
			tokens, known := ix.CachedTokens(now, "x", c.scope, prompt)
			is.True(known)
			is.Equal(tokens, c.want)
			is.Equal(ix.NextEvent("x"), c.reads[len(c.reads)-1].Next)
		})
	}
}

// Guards against sent parts that count as cached for longer than the target's events
// take to arrive, and against the use of a cache whose events can't be read.
func TestExpectedPartsExpire(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	ix := NewCacheIndex()
	ix.Observe(now, "x", stored(1, 1))
	ix.ExpectCached(now, "x", "s", prompt[:2])
	is.True(ix.Holds(now, "x", "s", prompt[:2]))
	is.True(!ix.Holds(now, "x", "s", prompt))
	is.True(!ix.Holds(now.Add(expectedTTL), "x", "s", prompt[:2]))
	_, known := ix.CachedTokens(now.Add(cacheStateMaxAge+1), "x", "s", prompt)
	is.True(!known)
	ix.Remove("x")
	_, known = ix.CachedTokens(now, "x", "s", prompt)
	is.True(!known)
}

// Guards against a fetch that is slower than a prefill and makes the first token
// late, one for a small gain, and one from a target that has fewer tokens cached.
func TestBestFetch(t *testing.T) {
	costs := FetchCosts{TokenBytes: 327_680, LinkMbps: 260_000, PrefillTokensPerSecond: 30_000, Objective: 800 * time.Millisecond}
	to := Target{Address: "to", Region: "r1", AvailabilityZone: "z1"}
	near := Source{Address: "near", Region: "r1", AvailabilityZone: "z1", CachedTokens: 6000}
	zone := Source{Address: "zone", Region: "r1", AvailabilityZone: "z2", CachedTokens: 6000}
	far := Source{Address: "far", Region: "r2", AvailabilityZone: "z3", CachedTokens: 6000}
	farShort := far
	farShort.CachedTokens = 2500
	self := near
	self.Address = "to"
	cases := map[string]struct {
		cached  int
		queueMs float64
		sources []Source
		want    string
	}{
		"same zone":                    {0, 0, []Source{far, zone, near}, "near"},
		"another zone":                 {0, 0, []Source{far, zone}, "zone"},
		"another region, too long":     {0, 0, []Source{far}, ""},
		"another region, short":        {0, 0, []Source{farShort}, "far"},
		"short but the target is busy": {0, 600, []Source{farShort}, ""},
		"already cached":               {6000, 0, []Source{near}, ""},
		"small gain":                   {5900, 0, []Source{near}, ""},
		"itself":                       {0, 0, []Source{self}, ""},
		"nobody":                       {0, 0, nil, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			best, ok := BestFetch(costs, to, Score{CachedTokens: c.cached, QueueMs: c.queueMs}, 6600, c.sources)
			is.New(t).Equal(best.Address, c.want)
			is.New(t).Equal(ok, c.want != "")
		})
	}
	_, ok := BestFetch(FetchCosts{}, to, Score{}, 6600, []Source{near})
	is.New(t).True(!ok)
}

// Guards against prompts that share blocks without sharing the parts before, and
// against equal beginnings with different blocks.
func TestPartBlocks(t *testing.T) {
	is := is.New(t)
	scope := port.Scope{Model: "m"}
	x := PartBlocks(scope, []port.Segment{{ID: "a", Tokens: 640}, {ID: "b", Tokens: 640}}, 0)
	y := PartBlocks(scope, []port.Segment{{ID: "a", Tokens: 640}, {ID: "c", Tokens: 640}}, 0)
	z := PartBlocks(scope, []port.Segment{{ID: "c", Tokens: 640}, {ID: "b", Tokens: 640}}, 0)
	is.Equal(len(x), 20)
	is.Equal(x[:10], y[:10])
	for i := 10; i < 20; i++ {
		is.True(x[i] != y[i])
		is.True(x[i] != z[i])
	}
	is.True(PartBlocks(port.Scope{ClientAccount: "w", Model: "m"}, []port.Segment{{ID: "a", Tokens: 640}}, 0)[0] != x[0])
}

// Guards against more readers of a target's events than it serves, a target without
// readers, and a router that reads the events of all targets.
func TestChosenRoutersAreLimited(t *testing.T) {
	is := is.New(t)
	var routers []string
	for i := range 83 {
		routers = append(routers, "r"+strconv.Itoa(i))
	}
	load := map[string]int{}
	for target := range 90 {
		readers := 0
		for _, r := range routers {
			if IsChosen(r, routers, "t"+strconv.Itoa(target), 12) {
				readers++
				load[r]++
			}
		}
		is.Equal(readers, 12)
	}
	for _, n := range load {
		is.True(n < 30) // 13 on average
	}
	is.True(IsChosen("r1", routers[:12], "t", 12))
	is.True(IsChosen("r1", routers, "t", 0))
}

// Guards against a prompt of more blocks than any cache holds, and against a count that differs
// from the blocks.
func TestPartBlocksAreBounded(t *testing.T) {
	for _, c := range []struct{ tokens, limit, want int }{{640, 0, 10}, {640, 4, 4}, {1 << 30, 100, 100}, {1 << 30, 0, maxPartBlocks}, {0, 5, 0}} {
		is := is.New(t)
		parts := []port.Segment{{ID: "a", Tokens: c.tokens}, {ID: "b"}}
		is.Equal(len(PartBlocks(port.Scope{}, parts, c.limit)), c.want)
		is.Equal(CountPartBlocks(parts, c.limit), c.want)
	}
}
