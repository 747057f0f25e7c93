package main

import (
	"runtime/debug"

	"mimosaseam.example/mimosaseam/internal/core/membudget"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Shares of the memory limit of the process. What clients, the ledger and the prefix index hold
// stays together with the rest of a full process, some 10 MB, within the heap's share.
const (
	// heapFraction is for the heap at most, and minHeapFraction at least. Beyond it are the pages
	// of the program and what the collector lets the heap exceed its limit by, and kernelFraction
	// for what the kernel holds of connections.
	heapFraction    = 0.65
	minHeapFraction = 0.3
	kernelFraction  = 0.2
	programBytes    = 22 << 20
	// clientFraction is for what is held for callers, operatorFraction for the clients of each
	// port for operators or load balancers.
	clientFraction   = 0.25
	operatorFraction = 0.04
	// indexFraction is for the prefix index, ledgerFraction for the ledger of serve mode.
	indexFraction  = 0.15
	ledgerFraction = 0.125
)

const (
	// indexBytesPerBlock is the memory of the prefix index for each block; a full
	// index of 300,000 blocks takes 18.1 MiB.
	indexBytesPerBlock = 64
	// blocksPerSegment is the mean length of a segment that the index allows for.
	blocksPerSegment  = 6
	defaultIndexBytes = 300_000 * indexBytesPerBlock
)

// memoryShare returns a share of the memory of a process in bytes.
func memoryShare(memoryMB, fraction float64) int { return int(fraction * memoryMB * (1 << 20)) }

// setMemoryLimit makes the garbage collector keep the heap within its share of the memory of
// the process.
func setMemoryLimit(memoryMB float64) {
	limit := min(memoryShare(memoryMB, heapFraction), memoryShare(memoryMB, 1-kernelFraction)-programBytes)
	debug.SetMemoryLimit(int64(max(limit, memoryShare(memoryMB, minHeapFraction))))
}

// newClientBudget returns the budget of what a process with this memory holds for its callers.
func newClientBudget(memoryMB float64, connections int) *membudget.Budget {
	return membudget.New(membudget.Options{Bytes: int64(memoryShare(memoryMB, clientFraction)), Connections: connections, Clock: port.SystemClock{}})
}

// indexSettings sets the bounds of a prefix index of the size within the memory of the process.
func indexSettings(s placement.Settings, memoryMB float64, bytes int) placement.Settings {
	s.MaxBlocks = min(bytes, memoryShare(memoryMB, indexFraction)) / indexBytesPerBlock
	s.MaxSegments = s.MaxBlocks / blocksPerSegment
	return s
}
