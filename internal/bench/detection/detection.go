// Package detection compares limits for declaring a target failed: fixed times
// against multiples of the measured round trip, as M. T. Raza et al. propose
// in "Modular Redundancy for Cloud based IMS Robustness" (MobiWac '17). Round
// trips are measured against the engine stand-in over loopback under load.
package detection

import (
	"context"
	"math"
	"net"
	"runtime"
	"slices"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/adapter/enginehttp"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// Options configure a run.
type Options struct {
	// Loads lists what goes on while probes are sent.
	Loads []Load
	// Probes is the number of probes for each load, fewer when they are slow.
	Probes int
	// LinksMs lists round trips of links, in ms, that are added to those
	// measured on loopback.
	LinksMs []float64
}

// Load is what the machine does while probes are sent.
type Load struct {
	// Streams is the number of open streams.
	Streams int `json:"streams"`
	// Busy keeps every core occupied by other work.
	Busy bool `json:"busy"`
}

// DefaultOptions covers an idle engine and a loaded one, on loopback, between
// availability zones (1 ms one way) and between regions (12 ms one way).
func DefaultOptions() Options {
	return Options{Loads: []Load{{}, {Streams: 1000}, {Streams: 1000, Busy: true}}, Probes: 2000, LinksMs: []float64{0, 2, 24}}
}

// Result is one detector under one load and link.
type Result struct {
	Detector string `json:"detector"`
	Load
	LinkMs float64 `json:"link_round_trip_ms"`
	Probes int     `json:"probes"`
	// FalseSuspicions and FalseFailovers count answered probes that took longer
	// than the detector allows.
	FalseSuspicions int `json:"false_suspicions"`
	FalseFailovers  int `json:"false_failovers"`
	// DetectionMs is the mean time from a failure to the failover.
	DetectionMs float64 `json:"detection_ms"`
	// RoundTripP50Ms and RoundTripMaxMs describe the probes.
	RoundTripP50Ms float64 `json:"round_trip_p50_ms"`
	RoundTripMaxMs float64 `json:"round_trip_max_ms"`
}

const (
	probeInterval = 5 * time.Millisecond
	decodeTime    = 20 * time.Millisecond
	probeTimeout  = 10 * time.Second
	// maxProbing bounds the probes of one load, which are slow on a busy machine.
	maxProbing = 30 * time.Second
	settleTime = 500 * time.Millisecond
	// busyPerCore is the number of goroutines per core that occupy a busy machine.
	busyPerCore = 4
	// suspectMultiple and failMultiple are the paper's multiples of the round trip.
	suspectMultiple = 25
	failMultiple    = 30
	// capMs bounds the multiples where the round trip itself is slow, in ms.
	capMs = 2000
	// smoothing is the weight of a new sample in the mean round trip.
	smoothing = 0.125
)

// detector gives the limits that hold after some round trips.
type detector struct {
	name string
	// limits returns when to suspect and when to fail over, in ms.
	limits func(meanMs float64) (suspect, fail float64)
}

func detectors() []detector {
	out := []detector{{"round trips 25/30", func(mean float64) (float64, float64) {
		return suspectMultiple * mean, failMultiple * mean
	}}}
	out = append(out, detector{"round trips, at most 2s", func(mean float64) (float64, float64) {
		return min(suspectMultiple*mean, capMs), min(failMultiple*mean, capMs)
	}})
	for _, ms := range []float64{100, 500, 2000} {
		out = append(out, detector{"fixed " + time.Duration(ms*float64(time.Millisecond)).String(),
			func(float64) (float64, float64) { return ms, ms }})
	}
	return out
}

// Run measures the round trips and applies every detector to them.
func Run(ctx context.Context, o Options) ([]Result, error) {
	var results []Result
	for _, load := range o.Loads {
		trips, err := measure(ctx, load, o.Probes)
		if err != nil {
			return nil, err
		}
		for _, link := range o.LinksMs {
			for _, d := range detectors() {
				results = append(results, apply(d, trips, load, link))
			}
		}
	}
	return results, nil
}

// apply counts the answered probes that a detector would have given up.
func apply(d detector, trips []float64, load Load, link float64) Result {
	r := Result{Detector: d.name, Load: load, LinkMs: link, Probes: len(trips)}
	mean, sum := trips[0]+link, 0.0
	for _, trip := range trips {
		trip += link
		suspect, fail := d.limits(mean)
		if trip > suspect {
			r.FalseSuspicions++
		}
		if trip > fail {
			r.FalseFailovers++
		}
		sum += fail
		mean += smoothing * (trip - mean)
	}
	sorted := slices.Sorted(slices.Values(trips))
	r.DetectionMs = round(sum / float64(len(trips)))
	r.RoundTripP50Ms = round(sorted[len(sorted)/2] + link)
	r.RoundTripMaxMs = round(sorted[len(sorted)-1] + link)
	return r
}

func round(ms float64) float64 { return math.Round(ms*1000) / 1000 }

// measure probes an engine under a load.
func measure(ctx context.Context, load Load, probes int) ([]float64, error) {
	e := engine.New(engine.Config{Name: "e", Slots: load.Streams + 1, MaxWaiting: load.Streams + 1, CapacityBlocks: 1000,
		DecodeInterval: decodeTime, StopAfter: math.MaxInt32})
	defer e.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &port.UnavailableError{Peer: "loopback", Cause: err}
	}
	server := e.Server()
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	ctx, cancel := context.WithCancel(ctx)
	client := enginehttp.New(enginehttp.Options{})
	defer client.Close()
	var open sync.WaitGroup
	for range load.Streams {
		open.Go(func() { drain(ctx, client, listener.Addr().String()) })
	}
	defer open.Wait()
	defer cancel()
	if load.Busy {
		for range busyPerCore * runtime.NumCPU() {
			open.Go(func() { spin(ctx) })
		}
	}
	time.Sleep(settleTime)
	return probe(ctx, client, listener.Addr().String(), probes)
}

func probe(ctx context.Context, client port.Engine, address string, probes int) ([]float64, error) {
	trips := make([]float64, 0, probes)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	end := time.Now().Add(maxProbing)
	for len(trips) < probes && time.Now().Before(end) {
		<-ticker.C
		begun := time.Now()
		probing, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := client.Load(probing, address)
		cancel()
		if err != nil {
			return nil, err
		}
		trips = append(trips, float64(time.Since(begun))/float64(time.Millisecond))
	}
	return trips, nil
}

// spin occupies a core until the context ends.
func spin(ctx context.Context) {
	for n := uint64(1); ctx.Err() == nil; n++ {
		for range 1 << 16 {
			n = n*6364136223846793005 + 1442695040888963407
		}
	}
}

// drain reads one stream until the context ends.
func drain(ctx context.Context, client port.Engine, address string) {
	stream, err := client.Generate(ctx, address, port.Generation{
		RequestID: "load", Prompt: "load", MaxTokens: math.MaxInt32,
		Deadline: time.Now().Add(time.Hour),
	})
	if err != nil {
		return
	}
	defer stream.Close()
	for err == nil {
		_, err = stream.Next()
	}
}
