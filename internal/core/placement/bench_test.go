package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRank measures one ranking with trained state.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{12, 500, 5100} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			p, targets := New(Settings{Seed: 1}), fleet(n)
			now := train(p, targets, 600)
			q := newRequest("a", "w1", 1, 3, 7)
			b.ReportAllocs()
			for b.Loop() {
				p.Rank(now, q, targets)
			}
		})
	}
}

// BenchmarkLifecycle measures the state updates of one request after Rank.
func BenchmarkLifecycle(b *testing.B) {
	p, targets := New(Settings{Seed: 1}), fleet(12)
	now := train(p, targets, 600)
	q := newRequest("a", "w1", 1, 3, 7)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		run(p, now, q, "t03", 64*64)
	}
}

// BenchmarkIndexMemory reports the heap per segment and per block of a full
// tree with the default limits: prompts of 96 blocks with one target each.
func BenchmarkIndexMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		p, targets := New(Settings{Seed: 1}), fleet(12)
		for i := range 40000 {
			run(p, start.Add(time.Duration(i)*time.Millisecond), newRequest("a", "w1", i%50, i%1000, i), targets[i%12].Name, 0)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		heap := float64(after.HeapAlloc - before.HeapAlloc)
		b.ReportMetric(heap/float64(1<<20), "MiB")
		b.ReportMetric(heap/float64(p.segments.count), "B/segment")
		b.ReportMetric(heap/float64(len(p.segments.blocks)), "B/block")
		runtime.KeepAlive(p)
	}
}
