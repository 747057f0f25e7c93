// Package detection compares limits for declaring a target failed: fixed times
// against multiples of the measured round trip, as M. T. Raza et al. propose
// in "Modular Redundancy for Cloud based IMS Robustness" (MobiWac '17). Round
// trips are measured against the engine stand-in over loopback under load.
package detection

import (
	"context"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/adapter/enginehttp"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// Options configure a run.
type Options struct {
	// Streams lists the numbers of open streams under which probes are sent.
	Streams []int
	// Probes is the number of probes for each number of streams.
	Probes int
	// LinksMs lists round trips of links, in ms, that are added to those
	// measured on loopback.
	LinksMs []float64
}

// DefaultOptions covers an idle engine and a loaded one, on loopback, between
// availability zones (1 ms one way) and between regions (12 ms one way).
func DefaultOptions() Options {
	return Options{Streams: []int{0, 200, 1000}, Probes: 2000, LinksMs: []float64{0, 2, 24}}
}

// Result is one detector under one load and link.
type Result struct {
	Detector string  `json:"detector"`
	Streams  int     `json:"streams"`
	LinkMs   float64 `json:"link_round_trip_ms"`
	Probes   int     `json:"probes"`
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
	settleTime    = 500 * time.Millisecond
	// suspectMultiple and failMultiple are the paper's multiples of the round trip.
	suspectMultiple = 25
	failMultiple    = 30
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
	for _, ms := range []float64{100, 500, 2000} {
		out = append(out, detector{"fixed " + time.Duration(ms*float64(time.Millisecond)).String(),
			func(float64) (float64, float64) { return ms, ms }})
	}
	return out
}

// Run measures the round trips and applies every detector to them.
func Run(ctx context.Context, o Options) ([]Result, error) {
	var results []Result
	for _, streams := range o.Streams {
		trips, err := measure(ctx, streams, o.Probes)
		if err != nil {
			return nil, err
		}
		for _, link := range o.LinksMs {
			for _, d := range detectors() {
				results = append(results, apply(d, trips, streams, link))
			}
		}
	}
	return results, nil
}

// apply counts the answered probes that a detector would have given up.
func apply(d detector, trips []float64, streams int, link float64) Result {
	r := Result{Detector: d.name, Streams: streams, LinkMs: link, Probes: len(trips)}
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

// measure probes an engine that serves a number of streams.
func measure(ctx context.Context, streams, probes int) ([]float64, error) {
	e := engine.New(engine.Config{Name: "e", Slots: streams + 1, MaxWaiting: streams + 1, CapacityBlocks: 1000,
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
	for range streams {
		open.Go(func() { drain(ctx, client, listener.Addr().String()) })
	}
	defer open.Wait()
	defer cancel()
	time.Sleep(settleTime)
	return probe(ctx, client, listener.Addr().String(), probes)
}

func probe(ctx context.Context, client port.Engine, address string, probes int) ([]float64, error) {
	trips := make([]float64, 0, probes)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for range probes {
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
