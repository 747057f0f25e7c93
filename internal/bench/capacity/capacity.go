// Package capacity measures how the state and the processor time of a router
// grow with the size of the fleet, so that docs/CAPACITY.md can extrapolate.
package capacity

import (
	"runtime"
	"time"
)

// Slope is one measured growth: what one more unit costs.
type Slope struct {
	Name string `json:"name"`
	// Unit is what is counted, for example "client account".
	Unit string `json:"unit"`
	// Count is the number of units measured.
	Count int `json:"count"`
	// Bytes is the memory per unit.
	Bytes float64 `json:"bytes,omitempty"`
	// Nanoseconds is the processor time per unit of work.
	Nanoseconds float64 `json:"ns,omitempty"`
	// WireBytes is the size of a message per unit.
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

// heap returns the live bytes of the heap.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// grow measures the memory and time of building something of n units. keep
// holds the result alive while the heap is read.
func grow(name, unit string, n int, build func() any) Slope {
	before := heap()
	begun := time.Now()
	keep := build()
	took := time.Since(begun)
	bytes := heap() - before
	runtime.KeepAlive(keep)
	return Slope{Name: name, Unit: unit, Count: n, Bytes: bytes / float64(n), Nanoseconds: float64(took.Nanoseconds()) / float64(n)}
}

// repeat measures the mean time of n calls.
func repeat(name, unit string, n int, call func(i int)) Slope {
	begun := time.Now()
	for i := range n {
		call(i)
	}
	return Slope{Name: name, Unit: unit, Count: n, Nanoseconds: float64(time.Since(begun).Nanoseconds()) / float64(n)}
}
