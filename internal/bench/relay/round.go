package relay

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"
)

// sample accumulates the measurements of one path over all rounds.
type sample struct {
	ttft    []time.Duration
	tokens  int
	cpu     time.Duration
	elapsed time.Duration
}

func (s *sample) result(path string, streams int) Result {
	slices.Sort(s.ttft)
	return Result{
		Path: path, Streams: streams, Requests: len(s.ttft),
		TTFTp50:         quantile(s.ttft, 0.50),
		TTFTp99:         quantile(s.ttft, 0.99),
		TokensPerSecond: float64(s.tokens) / s.elapsed.Seconds(),
		CPUPerToken:     s.cpu / time.Duration(max(1, s.tokens)),
	}
}

// quantile returns the smallest value that a share of at least q of the sorted
// values does not exceed.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// measureRound runs all streams of one path once. Every stream first makes one
// unmeasured request, which opens the connections.
func (o Options) measureRound(path string, n, round int, s *sample) error {
	b, err := o.open(path, o.TokenInterval)
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
	stopProfile, err := o.startCPUProfile(path, n, round)
	if err != nil {
		return err
	}
	defer stopProfile()
	cpuBefore, begin := cpuTime(), time.Now()
	err = eachCaller(callers, func(c *caller) error {
		// The starts are spread over the length of a stream.
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

// callers connects n callers. All paths get the same prompts and offsets.
func (o Options) callers(b *testbed, n, round int) ([]*caller, error) {
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

// measureMemory returns heap and stacks per stream with n open streams that have
// received their first token and wait for the next.
func (o Options) measureMemory(path string, n int) (heap, stack int64, err error) {
	b, err := o.open(path, idleIntervalForMemory)
	if err != nil {
		return 0, 0, err
	}
	defer b.close()
	heapBefore, stackBefore := memoryInUse()
	callers, err := o.callers(b, n, 0)
	if err != nil {
		return 0, 0, err
	}
	defer closeAll(callers)
	if err := eachCaller(callers, func(c *caller) error { return c.firstToken(o.Tokens) }); err != nil {
		return 0, 0, err
	}
	heap, stack = memoryInUse()
	return (heap - heapBefore) / int64(n), (stack - stackBefore) / int64(n), o.writeHeapProfile(path, n)
}

// memoryInUse returns the bytes of live heap and of stacks in use.
func memoryInUse() (heap, stack int64) {
	// The second collection frees what the first moved to the victim caches of
	// sync.Pool.
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
