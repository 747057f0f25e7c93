// Package relay measures the latency, CPU time and memory that a router adds to
// streams. It calls the simulated engine directly, through a pass-through proxy
// and through the router, in one process and one run, over loopback.
package relay

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// The performance targets of docs/design.md, section 9, and the defaults.
const (
	TargetAddedP99        = 2 * time.Millisecond
	TargetTokensPerCore   = 50000
	TargetBytesPerStream  = 64 << 10
	TargetStreamsForP99   = 100
	defaultTokens         = 64
	defaultRounds         = 3
	defaultPromptBytes    = 4096
	defaultTokenInterval  = 30 * time.Millisecond
	engineSlots           = 1 << 14
	engineCapacityBlocks  = 1 << 16
	weightsVersion        = "v1"
	modelName             = "bench"
	idleIntervalForMemory = time.Hour
)

// Errors that end a run.
var (
	ErrIncomplete = eris.New("a stream ended early or out of order")
	ErrRefused    = eris.New("a stream was refused")
)

// Proxy is a handler between the callers and the engine.
type Proxy struct {
	Handler http.Handler
	// Close releases the handler's resources.
	Close func()
}

// ProxyFactory creates the proxy for an engine at an address (host:port).
type ProxyFactory func(engineAddress string) Proxy

// Options configures a run. Zero fields select the defaults.
type Options struct {
	// Streams lists the numbers of concurrent streams measured.
	Streams []int
	// Requests is the number of requests each stream makes per round.
	Requests int
	// Rounds is how often each path is measured; the paths alternate.
	Rounds        int
	Tokens        int
	PromptBytes   int
	TokenInterval time.Duration
	Seed          uint64
	// ProfileDir receives a CPU profile of each round and a heap profile of each
	// path. It is empty for real measurements, which profiling would slow down.
	ProfileDir string
	// Proxies are compared with calling the engine directly.
	Proxies map[string]ProxyFactory
}

// Result holds the measurements of one path to the engine at one number of
// streams. Added values are relative to the direct path and are 0 for it.
type Result struct {
	Path     string        `json:"way"`
	Streams  int           `json:"streams"`
	Requests int           `json:"requests"`
	TTFTp50  time.Duration `json:"ttft_p50_ns"`
	TTFTp99  time.Duration `json:"ttft_p99_ns"`
	// TokensPerSecond is the rate at which tokens arrived at callers.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// CPUPerToken is the CPU time of the whole process per token: callers,
	// engine and the proxy, if any.
	CPUPerToken time.Duration `json:"cpu_per_token_ns"`
	// HeapPerStream and StackPerStream are the live heap and the stacks of the
	// whole process per open stream.
	HeapPerStream  int64 `json:"heap_per_stream_bytes"`
	StackPerStream int64 `json:"stack_per_stream_bytes"`

	AddedTTFTp50 time.Duration `json:"added_ttft_p50_ns"`
	AddedTTFTp99 time.Duration `json:"added_ttft_p99_ns"`
	// AddedTokensPerCore is the number of tokens that one core relays per second:
	// the inverse of the added CPU time per token.
	AddedTokensPerCore float64 `json:"added_tokens_per_second_per_core"`
	// AddedBytesPerStream is the sum of heap and stacks.
	AddedBytesPerStream int64 `json:"added_bytes_per_stream"`
}

// Direct is the name of the path without a proxy.
const Direct = "direct"

func (o Options) withDefaults() Options {
	if len(o.Streams) == 0 {
		o.Streams = []int{1, 100, 2000}
	}
	setDefault(&o.Rounds, defaultRounds)
	setDefault(&o.Tokens, defaultTokens)
	setDefault(&o.PromptBytes, defaultPromptBytes)
	if o.TokenInterval <= 0 {
		o.TokenInterval = defaultTokenInterval
	}
	return o
}

func setDefault(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}

// requests returns how many requests each of n streams makes per round, so that
// few streams still give enough samples for a p99.
func (o Options) requests(n int) int {
	if o.Requests > 0 {
		return o.Requests
	}
	const samples = 600
	return min(max(2, samples/n), 10)
}

// Run measures all paths at all numbers of streams.
func Run(o Options) ([]Result, error) {
	o = o.withDefaults()
	var all []Result
	for _, n := range o.Streams {
		results, err := o.measureStreams(n)
		if err != nil {
			return all, err
		}
		all = append(all, results...)
	}
	return all, nil
}

// paths returns the names of the measured paths, the direct one first.
func (o Options) paths() []string {
	names := []string{Direct}
	for name := range o.Proxies {
		names = append(names, name)
	}
	slices.Sort(names[1:])
	return names
}

func (o Options) measureStreams(n int) ([]Result, error) {
	names := o.paths()
	samples := make(map[string]*sample, len(names))
	for _, name := range names {
		samples[name] = &sample{}
	}
	for round := range o.Rounds {
		for i := range names {
			// Each round starts with another path, so that none always runs first.
			name := names[(i+round)%len(names)]
			if err := o.measureRound(name, n, round, samples[name]); err != nil {
				return nil, eris.Wrapf(err, "%s with %d streams", name, n)
			}
		}
	}
	var results []Result
	for _, name := range names {
		heap, stack, err := o.measureMemory(name, n)
		if err != nil {
			return nil, eris.Wrapf(err, "memory of %s with %d streams", name, n)
		}
		r := samples[name].result(name, n)
		r.HeapPerStream, r.StackPerStream = heap, stack
		if name != Direct {
			r.subtractDirect(results[0])
		}
		results = append(results, r)
	}
	return results, nil
}

func (r *Result) subtractDirect(direct Result) {
	r.AddedTTFTp50 = r.TTFTp50 - direct.TTFTp50
	r.AddedTTFTp99 = r.TTFTp99 - direct.TTFTp99
	if added := r.CPUPerToken - direct.CPUPerToken; added > 0 {
		r.AddedTokensPerCore = float64(time.Second) / float64(added)
	}
	r.AddedBytesPerStream = r.HeapPerStream + r.StackPerStream - direct.HeapPerStream - direct.StackPerStream
}

// testbed is an engine and, unless the path is direct, a proxy in front of it.
type testbed struct {
	address string
	close   func()
}

func (o Options) open(path string, interval time.Duration) (*testbed, error) {
	e := engine.New(engine.Config{
		Slots: engineSlots, MaxWaiting: engineSlots, CapacityBlocks: engineCapacityBlocks,
		StopAfter: 1 << 30, DecodeInterval: interval, WeightsVersion: weightsVersion, Model: modelName,
	})
	address, stop, err := serve(e.Server())
	if err != nil {
		return nil, err
	}
	b := &testbed{address: address, close: func() { e.Close(); stop() }}
	if path == Direct {
		return b, nil
	}
	proxy := o.Proxies[path](address)
	address, stopProxy, err := serve(&http.Server{Handler: proxy.Handler, ReadHeaderTimeout: time.Minute})
	if err != nil {
		b.close()
		return nil, err
	}
	return &testbed{address: address, close: func() {
		stopProxy()
		proxy.Close()
		b.close()
	}}, nil
}

func serve(server *http.Server) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, eris.Wrap(err, "listening on loopback")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	return listener.Addr().String(), func() {
		_ = server.Close()
		<-done
	}, nil
}

// prompt returns a random prompt, so that streams share no cache blocks.
func (o Options) prompt(random *rand.Rand) string {
	const letters = "abcdefghijklmnopqrstuvwxyz      "
	text := make([]byte, o.PromptBytes)
	for i := range text {
		text[i] = letters[random.IntN(len(letters))]
	}
	return string(text)
}
