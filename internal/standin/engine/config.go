// Package engine simulates a model engine: it implements the engine protocol of
// docs/design.md, section 3, generates deterministic text and accepts injected
// faults on /control/faults.
package engine

import (
	"net/http"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/prompt"
)

// Defaults of Config.
const (
	DefaultSlots          = 32
	DefaultMaxWaiting     = 256
	DefaultCapacityBlocks = 4096
	DefaultMaxTokens      = 256
	DefaultStopAfter      = 4096
	DefaultEventsRetained = 4096
)

// Clock provides monotonic time and timers.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f once after d, on another goroutine, unless the returned
	// function is called first.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// SystemClock is the clock of package time.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// AfterFunc calls f after d.
func (SystemClock) AfterFunc(d time.Duration, f func()) func() bool {
	return time.AfterFunc(d, f).Stop
}

// Config describes one engine. Zero sizes select the defaults; with a zero speed
// or duration the operation takes no time.
type Config struct {
	// Name and Seed form the incarnations: "name-seed-count".
	Name string
	Seed uint64

	// Model is the only model served; if empty, requests may name any model.
	Model          string
	WeightsVersion string
	Role           string

	Slots          int
	MaxWaiting     int
	CapacityBlocks int
	BlockBytes     int
	// StopAfter is the number of tokens after which every response ends with
	// finish reason "stop", unless max_tokens ends it earlier.
	StopAfter int

	// PrefillTokensPerSecond is the rate at which uncached prompt tokens are
	// computed, one prompt at a time.
	PrefillTokensPerSecond float64
	// DecodeInterval is the time between two tokens of one response.
	DecodeInterval time.Duration
	// ColdStart is how long a new incarnation reports "loading".
	ColdStart time.Duration
	// StartCold applies ColdStart to the first incarnation too.
	StartCold bool
	// LoadTime is how long an order to load a model, adapter or version takes.
	LoadTime time.Duration

	// LoadLag and EventLag delay load reports and cache events.
	LoadLag  time.Duration
	EventLag time.Duration
	// EventGapEvery drops every nth cache event; 0 drops none.
	EventGapEvery  int
	EventsRetained int

	// CheckFencing makes the engine refuse orders with a stale fencing token.
	CheckFencing bool
	// KVStoreURL and WeightStoreURL are base URLs, such as http://127.0.0.1:9000.
	// Without a weight store, loading does not fetch weights.
	KVStoreURL     string
	WeightStoreURL string
	HTTPClient     *http.Client

	Clock Clock
}

func (c Config) withDefaults() Config {
	setDefault(&c.Name, "engine")
	setDefault(&c.WeightsVersion, "v1")
	setDefault(&c.Role, "mixed")
	setDefault(&c.Slots, DefaultSlots)
	setDefault(&c.MaxWaiting, DefaultMaxWaiting)
	setDefault(&c.CapacityBlocks, DefaultCapacityBlocks)
	setDefault(&c.BlockBytes, prompt.DefaultBlockBytes)
	setDefault(&c.StopAfter, DefaultStopAfter)
	setDefault(&c.EventsRetained, DefaultEventsRetained)
	if c.HTTPClient == nil {
		c.HTTPClient = http.DefaultClient
	}
	if c.Clock == nil {
		c.Clock = SystemClock{}
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
