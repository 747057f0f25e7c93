package placement

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against data races and lost in-flight counts when requests, reports
// and summaries overlap; run with -race.
func TestConcurrentUse(t *testing.T) {
	p, targets := New(Settings{Seed: 1, MaxSegments: 50, MaxBlocks: 3000}), fleet(6)
	var all sync.WaitGroup
	for worker := range 8 {
		all.Go(func() {
			for i := range 200 {
				now := start.Add(time.Duration(i) * time.Second)
				q := newRequest("a", "w1", i%5, worker, i)
				serve(p, now, q, targets, 32*64)
				name := targets[i%6].Name
				p.ObserveLoad(now, name, port.LoadReport{Incarnation: "i1", Running: i % 9, MeasuredAt: now})
				p.ObserveEvents(now, name, 0, port.CacheEvents{Incarnation: "i1", FirstSeq: 1, Events: []port.CacheEvent{
					{Seq: uint64(i + 1), Op: port.CacheEvict, Scope: q.Scope.String(), Blocks: q.Blocks[40:]}}})
				p.ObservePeerInFlight(now, "peer", map[string]int{name: i % 3})
				if i%50 == 0 {
					_ = p.Restore(now, p.Summary(now, 4096))
					p.DropCache(name)
				}
			}
		})
	}
	all.Wait()
	is.New(t).Equal(len(p.InFlight()), 0)
}
