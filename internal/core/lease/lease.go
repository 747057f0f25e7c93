// Package lease derives the holder of a lease from the claims in a log stream, and
// computes when a holder must stop. The lease holder is the only router that may
// issue orders.
package lease

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/port"
)

// ErrNotClaim means that a record is not a lease claim.
var ErrNotClaim = eris.New("the record is not a lease claim")

// maxTTL is far above any lease in use. A longer claim, of another writer, would keep the lease
// from all routers or overflow.
const maxTTL = time.Hour

// Claim acquires a lease, or renews it if the holder is unchanged. Each lease has its
// own log stream.
type Claim struct {
	// Holder identifies one incarnation of a router by VM name and start time.
	Holder string `json:"holder"`
	// After is the offset of the last record of the stream that the writer had read.
	// A claim is valid only if it directly follows that record. Every reader can
	// therefore validate a claim by its record alone, even when it starts in the
	// middle of the stream.
	After port.Offset `json:"after"`
	// TTLMs is the duration of the lease in ms.
	TTLMs int64 `json:"ttl_ms"`
}

// Encode returns the claim as the data of a log record.
func Encode(c Claim) ([]byte, error) {
	data, err := json.Marshal(c)
	return data, eris.Wrap(err, "encode lease claim")
}

// Decode parses the data of a log record. It fails with ErrNotClaim if the record is
// not a claim.
func Decode(data []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(data, &c); err != nil || c.Holder == "" || c.TTLMs <= 0 || c.TTLMs > maxTTL.Milliseconds() {
		return Claim{}, ErrNotClaim
	}
	return c, nil
}

// Current is the claim in force.
type Current struct {
	Claim
	// Offset is the log offset of the claim and the fencing token of the orders issued
	// under it.
	Offset port.Offset
}

// TTL returns the duration of the lease.
func (c Current) TTL() time.Duration { return time.Duration(c.TTLMs) * time.Millisecond }

// State is the state of one lease after the records applied so far.
type State struct {
	lastOffset port.Offset
	current    Current
}

// Apply applies the next record and reports whether it is a claim that is now in
// force.
func (s *State) Apply(r port.Record) bool {
	if r.Offset <= s.lastOffset {
		return false
	}
	s.lastOffset = r.Offset
	c, err := Decode(r.Data)
	if err != nil || c.After != r.Offset-1 {
		return false
	}
	s.current = Current{Claim: c, Offset: r.Offset}
	return true
}

// LastOffset returns the offset of the last applied record.
func (s *State) LastOffset() port.Offset { return s.lastOffset }

// Current returns the claim in force; the second result is false if there is none.
func (s *State) Current() (Current, bool) { return s.current, s.current.Offset != 0 }

// clockDriftDivisor sets the safety margin for clocks that run at different speeds:
// the margin is the duration of the lease divided by it.
const clockDriftDivisor = 10

// HeldUntil returns when a holder must stop issuing orders. The time counts from
// before the append was sent, because the log may store the record immediately.
func HeldUntil(appendStarted time.Time, ttl time.Duration) time.Time {
	return appendStarted.Add(ttl - ttl/clockDriftDivisor)
}

// ClaimableAt returns when another router may claim the lease. It is based on the time
// at which the contender read the claim, which is never before the log stored it.
func ClaimableAt(observed time.Time, ttl time.Duration) time.Time {
	return observed.Add(ttl + ttl/clockDriftDivisor)
}
