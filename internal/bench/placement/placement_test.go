package placement

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// small returns a workload that runs in well under a second.
func small() Workload {
	w := DefaultWorkload()
	w.Requests, w.Runners, w.CrashEveryS = 2500, 6, 30
	w.Levels = []Level{{1000, 4}, {4096, 60}, {300, 600}}
	w.RequestsPerSecond, w.RouterRestartEveryS = 14, 40
	return w
}

// Guards against workload files that are parsed wrongly without an error.
func TestParse(t *testing.T) {
	cases := map[string]struct {
		text  string
		ok    bool
		check func(Workload) bool
	}{
		"empty is default":    {`{}`, true, func(w Workload) bool { return w.Runners == 12 && len(w.Levels) == 3 && len(w.Regions) == 3 }},
		"comments":            {"{// few\n\"runners\": 3,}", true, func(w Workload) bool { return w.Runners == 3 }},
		"levels are replaced": {`{"levels":[{"tokens":9,"count":1}]}`, true, func(w Workload) bool { return len(w.Levels) == 1 }},
		"no regions":          {`{"regions":[]}`, true, func(w Workload) bool { return len(w.Regions) == 0 }},
		"no levels":           {`{"levels":[]}`, true, func(w Workload) bool { return len(w.Levels) == 0 }},
		"unknown field":       {`{"runner": 3}`, false, nil},
		"unknown level field": {`{"levels":[{"tokens":9,"count":1,"x":1}]}`, false, nil},
		"no runners":          {`{"runners": 0}`, false, nil},
		"bad range":           {`{"output_tokens": [9, 3]}`, false, nil},
		"bad weigh":           {`{"weigh": "both"}`, false, nil},
		"not JSON":            {`runners: 3`, false, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w, err := Parse([]byte(c.text))
			is.New(t).Equal(err == nil, c.ok)
			if c.ok {
				is.New(t).True(c.check(w))
			}
		})
	}
	for _, name := range []string{"kaisla", "kabelgang"} {
		_, err := Load(filepath.Join("..", "..", "..", "workloads", name+".jsonc"))
		is.New(t).NoErr(err)
	}
}

// Guards against block hashes that are equal for different prefixes.
func TestBlocksNamePrefixes(t *testing.T) {
	is := is.New(t)
	w := Workload{BlockTokens: 64, Levels: []Level{{100, 2}, {200, 4}}}
	a := w.blocks(&arrival{id: 1, nodes: []int{0, 2}, prompt: 340})
	b := w.blocks(&arrival{id: 2, nodes: []int{0, 4}, prompt: 340})
	c := w.blocks(&arrival{id: 3, nodes: []int{0, 2}, prompt: 340})
	is.Equal(len(a), 5)
	is.Equal(a[0], b[0])   // inside the first level
	is.True(a[1] != b[1])  // reaches into the second
	is.Equal(a[:4], c[:4]) // the levels end in the fifth block
	is.True(a[4] != c[4])  // holds a part of the unique tail
	is.Equal(w.blocks(&arrival{id: 1, nodes: []int{0, 2}, prompt: 340}), a)
}

// Guards against lost requests, miscounted tokens, nondeterministic runs, and a
// policy that does not beat the baselines by the required margins.
func TestRun(t *testing.T) {
	is := is.New(t)
	first, second := Run(small(), 5, true), Run(small(), 5, true)
	a, err := json.Marshal(first)
	is.NoErr(err)
	b, err := json.Marshal(second)
	is.NoErr(err)
	is.Equal(string(a), string(b))
	is.Equal(len(first), len(Policies)+2)
	for _, r := range first {
		is.Equal(r.Completed+r.Refused+r.Failed, r.Requests)
		is.True(r.CompulsoryTokens > 0 && r.WastedTokens >= 0)
		is.Equal(r.PrefillTokens, r.CompulsoryTokens+r.WastedTokens)
		is.True(r.TTFTp50Ms <= r.TTFTp95Ms && r.TTFTp95Ms <= r.TTFTp99Ms)
	}
	roundRobin, leastLoaded, product, restart := first[0], first[1], first[3], first[5]
	is.True(float64(product.WastedTokens) <= 0.35*float64(leastLoaded.WastedTokens))
	is.True(product.TTFTp99Ms <= 0.5*roundRobin.TTFTp99Ms)
	is.True(product.ControlBytesPerRouterPerS <= 2000)
	is.True(restart.HitRateAfter >= 0.95*restart.HitRateBefore)
	is.NoErr(Plot(filepath.Join(t.TempDir(), "plot.svg"), first))
}

// Guards against lost requests or panics on unusual workloads.
func TestRunUnusualWorkloads(t *testing.T) {
	cases := map[string]func(*Workload){
		"no regions":   func(w *Workload) { w.Regions = []string{} },
		"no levels":    func(w *Workload) { w.Levels = []Level{} },
		"one of each":  func(w *Workload) { w.Routers, w.Runners, w.Accounts = 1, 1, 1 },
		"no cache":     func(w *Workload) { w.CacheBlocksPerRunner = 0 },
		"no faults":    func(w *Workload) { w.CrashEveryS, w.HotShiftEveryS, w.EventLoss = 0, 0, 0 },
		"all lost":     func(w *Workload) { w.EventLoss = 1 },
		"overload":     func(w *Workload) { w.RequestsPerSecond, w.SlotsPerRunner = 400, 1 },
		"fewer below":  func(w *Workload) { w.Levels = []Level{{64, 9}, {640, 3}} },
		"short levels": func(w *Workload) { w.Levels = []Level{{10, 3}, {20, 9}} },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			w := small()
			w.Requests = 300
			change(&w)
			is.New(t).NoErr(w.Validate())
			for _, r := range Run(w, 1, true) {
				is.New(t).Equal(r.Completed+r.Refused+r.Failed, r.Requests)
			}
		})
	}
}
