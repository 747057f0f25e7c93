// Package placement compares placement policies in simulation: a seeded driver
// with a virtual clock sends the same arrivals through the production Placer and
// through baselines, to simple models of engines.
package placement

import (
	"bytes"
	"encoding/json"
	"os"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Level is one level of nested prefixes: Count distinct prefixes of Tokens
// tokens each, over the whole workload.
type Level struct {
	Tokens int `json:"tokens"`
	Count  int `json:"count"`
}

// Workload describes traffic and engines. Every field has a default.
type Workload struct {
	// Regions names the regions, to which routers and runners are assigned
	// round-robin. An empty list means one region without a name.
	Regions []string `json:"regions"`
	// Routers is the number of routers. Default 6.
	Routers int `json:"routers"`
	// Runners is the number of model runners. Default 12.
	Runners int `json:"runners"`
	// SlotsPerRunner is the number of concurrent requests of a runner. Default 32.
	SlotsPerRunner int `json:"slots_per_runner"`
	// CacheBlocksPerRunner is the size of a runner's prefix cache. Default 2000.
	CacheBlocksPerRunner int `json:"cache_blocks_per_runner"`
	// BlockTokens is the size of a block in tokens. Default 64.
	BlockTokens int `json:"block_tokens"`
	// PrefillTokensPerSecond is the prefill speed of a runner. Default 20000.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// DecodeMsPerToken is the time between output tokens in ms. Default 25.
	DecodeMsPerToken float64 `json:"decode_ms_per_token"`
	// Levels lists the prefix levels, outermost first.
	Levels []Level `json:"levels"`
	// Zipf is the exponent of the popularity of siblings. Default 1.1.
	Zipf float64 `json:"zipf"`
	// Requests is the number of arrivals. Default 20000.
	Requests int `json:"requests"`
	// RequestsPerSecond is the mean rate of the Poisson arrivals. Default 24.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// OutputTokens is the range of the number of output tokens. Default [50, 200].
	OutputTokens [2]int `json:"output_tokens"`
	// Accounts is the number of client accounts. Default 8.
	Accounts int `json:"accounts"`
	// LargeAccounts is how many of them send four times as many requests. Default 2.
	LargeAccounts int `json:"large_accounts"`
	// HotShiftEveryS is the interval in s at which the most popular tenth of each
	// group of siblings changes. 0 disables shifts. Default 60.
	HotShiftEveryS float64 `json:"hot_shift_every_s"`
	// EventLagMs is the age in ms at which cache events can be read. Default 1500.
	EventLagMs float64 `json:"event_lag_ms"`
	// EventLoss is the share of cache events that are lost. Default 0.02.
	EventLoss float64 `json:"event_loss"`
	// LoadLagMs is the age of load reports in ms. Default 2000.
	LoadLagMs float64 `json:"load_lag_ms"`
	// CrashEveryS is the interval between crashes of a random runner in s. 0
	// disables crashes. Default 120.
	CrashEveryS float64 `json:"crash_every_s"`
	// ColdStartS is the time a restarted runner takes to reach its full speed, in
	// s. Default 30.
	ColdStartS float64 `json:"cold_start_s"`
	// RouterRestartEveryS is the interval between restarts of single routers, in
	// rotation, in s. 0 disables restarts. Default 0.
	RouterRestartEveryS float64 `json:"router_restart_every_s"`
	// Speeds lists the factors of the runners' prefill times, which are assigned round-robin;
	// empty: all are 1.
	Speeds []float64 `json:"speeds"`
	// SlownessSpread is the deviation of the logarithm of a momentary factor of each runner's
	// prefill time, which changes 20 times a second. Runners report both factors with each
	// first token if Speeds or SlownessSpread is set. Default 0.
	SlownessSpread float64 `json:"slowness_spread"`
	// InterRegionMs is the one-way latency between regions in ms. Default 12.
	InterRegionMs float64 `json:"inter_region_ms"`
	// Weigh is "ttft" or "recompute", the objective with the highest weight in the
	// route's placement weights. Default "ttft".
	Weigh string `json:"weigh"`
}

// WorkloadError reports an invalid field of a workload.
type WorkloadError struct {
	Field    string
	Expected string
}

func (e *WorkloadError) Error() string { return "workload field " + e.Field + " must be " + e.Expected }

// DefaultWorkload returns the defaults.
func DefaultWorkload() Workload {
	return Workload{
		Regions: []string{"fi-south", "fi-west", "se-east"}, Routers: 6, Runners: 12,
		SlotsPerRunner: 32, CacheBlocksPerRunner: 2000, BlockTokens: 64,
		PrefillTokensPerSecond: 20000, DecodeMsPerToken: 25,
		Levels: []Level{{2048, 8}, {8192, 200}, {512, 5000}}, Zipf: 1.1,
		Requests: 20000, RequestsPerSecond: 24, OutputTokens: [2]int{50, 200},
		Accounts: 8, LargeAccounts: 2, HotShiftEveryS: 60,
		EventLagMs: 1500, EventLoss: 0.02, LoadLagMs: 2000, CrashEveryS: 120, ColdStartS: 30,
		InterRegionMs: 12, Weigh: "ttft",
	}
}

// Load reads a workload file, which is JSON with comments. Omitted fields have
// their defaults; an unknown field is an error.
func Load(path string) (Workload, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, eris.Wrap(err, "read workload")
	}
	return Parse(raw)
}

// Parse reads a workload from JSON with comments.
func Parse(raw []byte) (Workload, error) {
	w := DefaultWorkload()
	plain, err := hujson.Standardize(raw)
	if err != nil {
		return w, eris.Wrap(err, "parse workload")
	}
	// A list in the file replaces the default list instead of being merged into it.
	levels, regions := w.Levels, w.Regions
	w.Levels, w.Regions = nil, nil
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&w); err != nil {
		return w, eris.Wrap(err, "parse workload")
	}
	if w.Levels == nil {
		w.Levels = levels
	}
	if w.Regions == nil {
		w.Regions = regions
	}
	return w, w.Validate()
}

// Validate checks the ranges of all fields.
func (w Workload) Validate() error {
	positive := map[string]float64{
		"routers": float64(w.Routers), "runners": float64(w.Runners), "slots_per_runner": float64(w.SlotsPerRunner),
		"block_tokens": float64(w.BlockTokens), "prefill_tokens_per_second": w.PrefillTokensPerSecond,
		"requests": float64(w.Requests), "requests_per_second": w.RequestsPerSecond, "accounts": float64(w.Accounts),
	}
	zeroOrMore := map[string]float64{
		"cache_blocks_per_runner": float64(w.CacheBlocksPerRunner), "decode_ms_per_token": w.DecodeMsPerToken, "zipf": w.Zipf,
		"large_accounts": float64(w.LargeAccounts), "hot_shift_every_s": w.HotShiftEveryS, "event_lag_ms": w.EventLagMs,
		"event_loss": w.EventLoss, "load_lag_ms": w.LoadLagMs, "crash_every_s": w.CrashEveryS, "cold_start_s": w.ColdStartS,
		"router_restart_every_s": w.RouterRestartEveryS, "inter_region_ms": w.InterRegionMs, "slowness_spread": w.SlownessSpread,
	}
	for _, field := range sortedKeys(positive) {
		if positive[field] <= 0 {
			return &WorkloadError{field, "positive"}
		}
	}
	for _, field := range sortedKeys(zeroOrMore) {
		if zeroOrMore[field] < 0 {
			return &WorkloadError{field, "0 or more"}
		}
	}
	return w.validateShape()
}

func (w Workload) validateShape() error {
	for i, l := range w.Levels {
		if l.Tokens <= 0 || l.Count <= 0 {
			return &WorkloadError{"levels[" + strconv.Itoa(i) + "]", "a positive number of tokens and a positive count"}
		}
	}
	for i, speed := range w.Speeds {
		if speed <= 0 {
			return &WorkloadError{"speeds[" + strconv.Itoa(i) + "]", "positive"}
		}
	}
	switch {
	case w.EventLoss > 1:
		return &WorkloadError{"event_loss", "at most 1"}
	case w.OutputTokens[0] < 1 || w.OutputTokens[1] < w.OutputTokens[0]:
		return &WorkloadError{"output_tokens", "a range of positive numbers"}
	case w.Weigh != "ttft" && w.Weigh != "recompute":
		return &WorkloadError{"weigh", `"ttft" or "recompute"`}
	}
	return nil
}
