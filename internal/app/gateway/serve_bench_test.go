package gateway

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
)

// benchmarkServe measures one request without a network: a number of targets of each
// service, a prompt of two segments, and log lines that are encoded but not written.
func benchmarkServe(b *testing.B, route string, count, events int) {
	var body strings.Builder
	for i := range events {
		fmt.Fprintf(&body, "id: %d\ndata: {\"text\":\"abcdef\"}\n\n", i+1)
	}
	log, clock := slog.New(slog.NewJSONHandler(discard{}, nil)), port.SystemClock{}
	placer, targets := placement.New(placement.Settings{}), &fakeTargets{always: map[string]reply{}}
	dir := NewDirectory(log, clock, placer, time.Second)
	g := New(Deps{Forwarder: targets, Control: targets, Placer: placer, Directory: dir, CacheContents: placement.NewCacheIndex(), Clock: clock,
		BootClock: clock, Log: log, Metrics: noMetrics{}, Routers: func() int { return 6 }, CrashTracker: retry.NewCrashTracker(), SegmentTracker: retry.NewSegmentTracker(),
		Settings: Settings{KeyRevocationBound: time.Hour, ConfigurationBound: time.Hour, RetryRatio: 0.2, RetryAllowance: 50,
			RetryWindow: 10 * time.Second, WeightsBound: 8 * time.Second}})
	for i := range count {
		id := fmt.Sprint("t", i)
		dir.Put(port.TargetEntry{ID: "d" + id, Service: "desk", Address: "desk-" + id, Slots: 6})
		dir.Put(port.TargetEntry{ID: "e" + id, Service: "llm", Address: "llm-" + id, Slots: 64, Weights: map[string]int{testModel: 1}})
		targets.always["llm-"+id] = reply{status: http.StatusOK, body: body.String()}
	}
	g.SetConfiguration(testConfiguration(1))
	g.MarkVerified(clock.Now())
	w := &testGateway{Gateway: g, targets: targets}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := w.send(b.Context(), route); err != nil {
			b.Fatal(err)
		}
		targets.mu.Lock()
		targets.attempts = targets.attempts[:0]
		targets.mu.Unlock()
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func BenchmarkServePlain(b *testing.B)      { benchmarkServe(b, "book", 12, 0) }
func BenchmarkServeStream20(b *testing.B)   { benchmarkServe(b, "brief", 12, 20) }
func BenchmarkServeStream1020(b *testing.B) { benchmarkServe(b, "brief", 12, 1020) }
func BenchmarkServe256Engines(b *testing.B) { benchmarkServe(b, "brief", 256, 20) }
