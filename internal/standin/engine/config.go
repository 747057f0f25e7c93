// Package engine is a stand-in for a model engine: it speaks the engine
// protocol of docs/design.md, section 3, generates deterministic text and takes
// faults through /control/faults.
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

// Clock tells the time and runs callbacks. Times must not go backwards.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f once after d, on another goroutine, unless the returned
	// function is called before.
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

// Config describes one engine. Zero sizes mean the defaults, zero speeds and
// durations mean that no time passes.
type Config struct {
	// Name and Seed make up the incarnations: "name-seed-count".
	Name string
	Seed uint64

	// Model is the only model served; empty: requests may name any.
	Model          string
	WeightsVersion string
	Role           string

	Slots          int
	MaxWaiting     int
	CapacityBlocks int
	BlockBytes     int
	// StopAfter is the number of tokens after which every answer ends with
	// finish reason "stop", if max_tokens does not end it before.
	StopAfter int

	// PrefillTokensPerSecond is the speed at which missed prompt tokens are
	// computed, one prompt after the other.
	PrefillTokensPerSecond float64
	// DecodeInterval is the time between two tokens of one answer.
	DecodeInterval time.Duration
	// ColdStart is how long a new incarnation reports "loading".
	ColdStart time.Duration
	// StartCold applies ColdStart to the first incarnation too.
	StartCold bool
	// LoadTime is how long an order to load something takes.
	LoadTime time.Duration

	// LoadLag and EventLag delay load reports and cache events.
	LoadLag  time.Duration
	EventLag time.Duration
	// EventGapEvery loses one cache event in this many; 0 loses none.
	EventGapEvery  int
	EventsRetained int

	// CheckFencing makes the engine refuse orders with a stale fencing token.
	CheckFencing bool
	// KVStoreURL and WeightStoreURL are base URLs, such as http://127.0.0.1:9000.
	// Without a weight store, loading needs no fetch.
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
