package relay

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"
)

// sample gathers the measurements of one way over all rounds.
type sample struct {
	ttft    []time.Duration
	tokens  int
	cpu     time.Duration
	elapsed time.Duration
}

func (s *sample) figures(way string, streams int) Result {
	slices.Sort(s.ttft)
	return Result{
		Path: way, Streams: streams, Requests: len(s.ttft),
		TTFTp50:         quantile(s.ttft, 0.50),
		TTFTp99:         quantile(s.ttft, 0.99),
		TokensPerSecond: float64(s.tokens) / s.elapsed.Seconds(),
		CPUPerToken:     s.cpu / time.Duration(max(1, s.tokens)),
	}
}

// quantile returns the smallest value that at least q of the sorted values do
// not exceed.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// round runs all streams of one way once. Every stream first makes one request
// that is not measured, which opens the connections.
func (o Options) round(way string, n, round int, s *sample) error {
	b, err := o.open(way, o.TokenInterval)
	if err != nil {
		return err
	}
	defer b.close()
	callers, err := o.callers(b, n, round)
	if err != nil {
		return err
	}
	defer closeAll(callers)
	if err := eachCaller(callers, func(c *caller) error { return c.request(2, nil) }); err != nil {
		return err
	}
	runtime.GC()
	stopProfile, err := o.startCPUProfile(way, n, round)
	if err != nil {
		return err
	}
	defer stopProfile()
	cpuBefore, begin := cpuTime(), time.Now()
	err = eachCaller(callers, func(c *caller) error {
		// Spreads the starts over the length of a stream.
		time.Sleep(c.offset)
		for range o.requests(n) {
			if err := c.request(o.Tokens, &c.ttft); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	s.cpu += cpuTime() - cpuBefore
	s.elapsed += time.Since(begin)
	s.tokens += n * o.requests(n) * o.Tokens
	for _, c := range callers {
		s.ttft = append(s.ttft, c.ttft...)
	}
	return nil
}

// callers connects n callers. All ways get the same prompts and offsets.
func (o Options) callers(b *bed, n, round int) ([]*caller, error) {
	random := rand.New(rand.NewPCG(o.Seed, uint64(round)))
	length := o.TokenInterval * time.Duration(o.Tokens)
	callers := make([]*caller, 0, n)
	for range n {
		c, err := newCaller(b.address, o.prompt(random))
		if err != nil {
			closeAll(callers)
			return nil, err
		}
		c.offset = time.Duration(random.Int64N(int64(length)))
		callers = append(callers, c)
	}
	return callers, nil
}

func eachCaller(callers []*caller, run func(*caller) error) error {
	var group sync.WaitGroup
	failures := make([]error, len(callers))
	for i, c := range callers {
		group.Go(func() { failures[i] = run(c) })
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

func closeAll(callers []*caller) {
	for _, c := range callers {
		_ = c.conn.Close()
	}
}

// memory returns heap and stacks per stream with n open streams that have sent
// their first token and wait for the next.
func (o Options) memory(way string, n int) (heap, stack int64, err error) {
	b, err := o.open(way, idleIntervalForMemory)
	if err != nil {
		return 0, 0, err
	}
	defer b.close()
	heapBefore, stackBefore := inUse()
	callers, err := o.callers(b, n, 0)
	if err != nil {
		return 0, 0, err
	}
	defer closeAll(callers)
	if err := eachCaller(callers, func(c *caller) error { return c.firstToken(o.Tokens) }); err != nil {
		return 0, 0, err
	}
	heap, stack = inUse()
	return (heap - heapBefore) / int64(n), (stack - stackBefore) / int64(n), o.writeHeapProfile(way, n)
}

// inUse returns the bytes of live heap and of stacks.
func inUse() (heap, stack int64) {
	// The second collection frees what the first moved to the pools' victims.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc), int64(m.StackInuse)
}

// cpuTime returns the user and system time of the process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
