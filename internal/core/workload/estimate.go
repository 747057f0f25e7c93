// Package workload estimates the cost of requests and, for each target, its speed, its
// momentary slowness and the work that it still has to do. It takes the time as a parameter
// and needs no network.
package workload

import "time"

// Estimate is what a request is expected to meet on a target.
type Estimate struct {
	// Wait is the time until the target begins the request.
	Wait time.Duration
	// Service is the time from then to the first byte of the answer, including the link.
	Service time.Duration
	// Deviation is the standard deviation of Wait + Service, 0 if unknown.
	Deviation time.Duration
}

// FirstByte is the expected time to the first byte of the answer.
func (e Estimate) FirstByte() time.Duration { return e.Wait + e.Service }
