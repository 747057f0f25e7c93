// Package capacity measures how the memory of a router, the size of its messages
// and the wall-clock time of its operations grow with the size of the fleet.
// docs/CAPACITY.md extrapolates from the results.
package capacity

import (
	"runtime"
	"time"
)

// Slope is the measured cost of one more unit.
type Slope struct {
	Name string `json:"name"`
	// Unit is the unit counted, for example "client account".
	Unit string `json:"unit"`
	// Count is the number of units measured.
	Count int `json:"count"`
	// Bytes is the memory per unit.
	Bytes float64 `json:"bytes,omitempty"`
	// Nanoseconds is the wall-clock time per unit of work.
	Nanoseconds float64 `json:"ns,omitempty"`
	// WireBytes is the encoded size per unit.
	WireBytes float64 `json:"wire_bytes,omitempty"`
}

// Run measures all slopes.
func Run() ([]Slope, error) {
	var all []Slope
	for _, measure := range []func() ([]Slope, error){
		configSlopes, ledgerSlopes, placementSlopes, membershipSlopes, promptSlopes,
	} {
		slopes, err := measure()
		if err != nil {
			return nil, err
		}
		all = append(all, slopes...)
	}
	return all, nil
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureBuild measures the memory and wall-clock time per unit of building a
// structure of n units. The result is kept alive until the heap is measured.
func measureBuild(name, unit string, n int, build func() any) Slope {
	before := heapBytes()
	start := time.Now()
	result := build()
	elapsed := time.Since(start)
	bytes := heapBytes() - before
	runtime.KeepAlive(result)
	return Slope{Name: name, Unit: unit, Count: n, Bytes: bytes / float64(n), Nanoseconds: float64(elapsed.Nanoseconds()) / float64(n)}
}

// measureCalls measures the mean wall-clock time of n calls.
func measureCalls(name, unit string, n int, call func(i int)) Slope {
	start := time.Now()
	for i := range n {
		call(i)
	}
	return Slope{Name: name, Unit: unit, Count: n, Nanoseconds: float64(time.Since(start).Nanoseconds()) / float64(n)}
}
