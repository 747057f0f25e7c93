// Package detection compares timeouts for declaring a target failed: fixed ones
// and multiples of the measured round trip, as M. T. Raza et al. propose in
// "Modular Redundancy for Cloud based IMS Robustness" (MobiWac '17). Round
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

// Options configures a run.
type Options struct {
	// Loads lists the loads under which probes are sent.
	Loads []Load
	// Probes is the number of probes per load, fewer if maxProbing expires first.
	Probes int
	// LinksMs lists link round trips, in ms, that are added to those measured on
	// loopback.
	LinksMs []float64
}

// Load describes the load on the machine while probes are sent.
type Load struct {
	// Streams is the number of open streams.
	Streams int `json:"streams"`
	// Busy occupies every core with other work.
	Busy bool `json:"busy"`
}

// DefaultOptions covers an idle engine and a loaded one, on loopback, between
// availability zones (1 ms one way) and between regions (12 ms one way).
func DefaultOptions() Options {
	return Options{Loads: []Load{{}, {Streams: 1000}, {Streams: 1000, Busy: true}}, Probes: 2000, LinksMs: []float64{0, 2, 24}}
}

// Result holds the figures of one detector under one load and link.
type Result struct {
	Detector string `json:"detector"`
	Load
	LinkMs float64 `json:"link_round_trip_ms"`
	Probes int     `json:"probes"`
	// FalseSuspicions and FalseFailovers count successful probes that took longer
	// than the detector's limits.
	FalseSuspicions int `json:"false_suspicions"`
	FalseFailovers  int `json:"false_failovers"`
	// DetectionMs is the mean time from a failure to the failover.
	DetectionMs float64 `json:"detection_ms"`
	// RoundTripP50Ms and RoundTripMaxMs include the link.
	RoundTripP50Ms float64 `json:"round_trip_p50_ms"`
	RoundTripMaxMs float64 `json:"round_trip_max_ms"`
}

const (
	probeInterval = 5 * time.Millisecond
	decodeTime    = 20 * time.Millisecond
	probeTimeout  = 10 * time.Second
	// maxProbing bounds the time for the probes of one load, which are slow on a
	// busy machine.
	maxProbing = 30 * time.Second
	settleTime = 500 * time.Millisecond
	// busyPerCore is the number of goroutines per core that generate Busy load.
	busyPerCore = 4
	// suspectMultiple and failMultiple are the paper's multiples of the round trip.
	suspectMultiple = 25
	failMultiple    = 30
	// maxLimitMs caps the multiples when the round trip itself is long, in ms.
	maxLimitMs = 2000
	// smoothing is the weight of a new sample in the moving average of round trips.
	smoothing = 0.125
)

// detector computes its limits from the mean round trip.
type detector struct {
	name string
	// limits returns the times until suspicion and until failover, in ms.
	limits func(meanMs float64) (suspect, fail float64)
}

func detectors() []detector {
	out := []detector{{"round trips 25/30", func(mean float64) (float64, float64) {
		return suspectMultiple * mean, failMultiple * mean
	}}}
	out = append(out, detector{"round trips, at most 2s", func(mean float64) (float64, float64) {
		return min(suspectMultiple*mean, maxLimitMs), min(failMultiple*mean, maxLimitMs)
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
		roundTrips, err := measure(ctx, load, o.Probes)
		if err != nil {
			return nil, err
		}
		for _, link := range o.LinksMs {
			for _, d := range detectors() {
				results = append(results, apply(d, roundTrips, load, link))
			}
		}
	}
	return results, nil
}

// apply counts the successful probes that a detector would have declared failed.
func apply(d detector, roundTrips []float64, load Load, link float64) Result {
	r := Result{Detector: d.name, Load: load, LinkMs: link, Probes: len(roundTrips)}
	mean, sum := roundTrips[0]+link, 0.0
	for _, roundTrip := range roundTrips {
		roundTrip += link
		suspect, fail := d.limits(mean)
		if roundTrip > suspect {
			r.FalseSuspicions++
		}
		if roundTrip > fail {
			r.FalseFailovers++
		}
		sum += fail
		mean += smoothing * (roundTrip - mean)
	}
	sorted := slices.Sorted(slices.Values(roundTrips))
	r.DetectionMs = round(sum / float64(len(roundTrips)))
	r.RoundTripP50Ms = round(sorted[len(sorted)/2] + link)
	r.RoundTripMaxMs = round(sorted[len(sorted)-1] + link)
	return r
}

func round(ms float64) float64 { return math.Round(ms*1000) / 1000 }

// measure returns the round trips, in ms, of probes to an engine under a load.
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
	var workers sync.WaitGroup
	for range load.Streams {
		workers.Go(func() { readStream(ctx, client, listener.Addr().String()) })
	}
	defer workers.Wait()
	defer cancel()
	if load.Busy {
		for range busyPerCore * runtime.NumCPU() {
			workers.Go(func() { occupyCore(ctx) })
		}
	}
	time.Sleep(settleTime)
	return probe(ctx, client, listener.Addr().String(), probes)
}

func probe(ctx context.Context, client port.Engine, address string, probes int) ([]float64, error) {
	roundTrips := make([]float64, 0, probes)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	end := time.Now().Add(maxProbing)
	for len(roundTrips) < probes && time.Now().Before(end) {
		<-ticker.C
		start := time.Now()
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := client.Load(probeCtx, address)
		cancel()
		if err != nil {
			return nil, err
		}
		roundTrips = append(roundTrips, float64(time.Since(start))/float64(time.Millisecond))
	}
	return roundTrips, nil
}

// occupyCore occupies a core until the context ends.
func occupyCore(ctx context.Context) {
	for n := uint64(1); ctx.Err() == nil; n++ {
		for range 1 << 16 {
			n = n*6364136223846793005 + 1442695040888963407
		}
	}
}

// readStream reads one stream until the context ends.
func readStream(ctx context.Context, client port.Engine, address string) {
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
