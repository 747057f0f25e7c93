// Package lease folds lease claims from log order and tells a holder when it
// must stop. A lease names the one router that may give orders.
package lease

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/port"
)

// ErrNotClaim means that a record is not a lease claim.
var ErrNotClaim = eris.New("the record is not a lease claim")

// Claim asks for a lease, or renews it when the holder stays the same. Each
// lease has a log stream of its own.
type Claim struct {
	// Holder identifies one life of a router: VM name and start time.
	Holder string `json:"holder"`
	// After is the last offset of the stream that the writer had read. A claim
	// counts only when no other record came in between, so that every reader
	// tells from the record alone whether it counts, even one that starts in
	// the middle of the stream.
	After port.Offset `json:"after"`
	// TTLMs is the duration of the lease in ms.
	TTLMs int64 `json:"ttl_ms"`
}

// Encode renders the claim as the data of a log record.
func Encode(c Claim) ([]byte, error) {
	data, err := json.Marshal(c)
	return data, eris.Wrap(err, "encode lease claim")
}

// Decode reads a claim.
func Decode(data []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(data, &c); err != nil || c.Holder == "" || c.TTLMs <= 0 {
		return Claim{}, ErrNotClaim
	}
	return c, nil
}

// Current is the claim in force.
type Current struct {
	Claim
	// Offset of the claim; it is the fencing token of orders given under it.
	Offset port.Offset
}

// TTL returns the duration of the lease.
func (c Current) TTL() time.Duration { return time.Duration(c.TTLMs) * time.Millisecond }

// State is the state of one lease after a part of its stream.
type State struct {
	last    port.Offset
	current Current
}

// Apply folds the next record in and reports whether it is a claim that is now
// in force.
func (f *State) Apply(r port.Record) bool {
	if r.Offset <= f.last {
		return false
	}
	f.last = r.Offset
	c, err := Decode(r.Data)
	if err != nil || c.After != r.Offset-1 {
		return false
	}
	f.current = Current{Claim: c, Offset: r.Offset}
	return true
}

// LastOffset returns the offset of the last record folded in.
func (f *State) LastOffset() port.Offset { return f.last }

// Current returns the claim in force; the second result is false when none was seen.
func (f *State) Current() (Current, bool) { return f.current, f.current.Offset != 0 }

// driftShare is the part of a lease kept as safety margin against clocks that
// run at different speeds, as a divisor.
const driftShare = 10

// HeldUntil returns when a holder must stop giving orders. It counts from
// before the append was sent, because the log may take the record at once.
func HeldUntil(appendStarted time.Time, ttl time.Duration) time.Time {
	return appendStarted.Add(ttl - ttl/driftShare)
}

// ClaimableAt returns when another router may claim. It counts from when the
// contender read the claim, which is never before the log took it.
func ClaimableAt(observed time.Time, ttl time.Duration) time.Time {
	return observed.Add(ttl + ttl/driftShare)
}
