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

// recordKind marks claims among the other records of the fleet stream.
const recordKind = "lease_claim"

// Claim asks for a lease, or renews it when the holder stays the same.
type Claim struct {
	Kind string `json:"kind"`
	// Name of the lease.
	Name string `json:"name"`
	// Holder identifies one life of a router: VM name and incarnation.
	Holder string `json:"holder"`
	// Replaces is the offset of the claim that the writer saw as current, 0 for none.
	Replaces port.Offset `json:"replaces"`
	// TTLMs is the duration of the lease in ms.
	TTLMs int64 `json:"ttl_ms"`
}

// Encode renders the claim as the data of a log record.
func Encode(c Claim) ([]byte, error) {
	c.Kind = recordKind
	data, err := json.Marshal(c)
	return data, eris.Wrap(err, "encode lease claim")
}

// Decode reads a claim. Records of another kind are ErrNotClaim.
func Decode(data []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(data, &c); err != nil || c.Kind != recordKind || c.Name == "" || c.Holder == "" || c.TTLMs <= 0 {
		return Claim{}, ErrNotClaim
	}
	return c, nil
}

// Current is the claim in force for one lease.
type Current struct {
	Claim
	// Offset of the claim; it is the fencing token of orders given under it.
	Offset port.Offset
}

// TTL returns the duration of the lease.
func (c Current) TTL() time.Duration { return time.Duration(c.TTLMs) * time.Millisecond }

// Fold is the state of all leases after a prefix of the log. The winner among
// racing claims depends on log order alone: a claim counts only when it
// replaces the claim in force.
type Fold struct{ current map[string]Current }

// NewFold returns the state before the first record.
func NewFold() *Fold { return &Fold{current: map[string]Current{}} }

// Apply folds one claim and reports whether it is now in force. A claim that
// replaces an offset the fold has never seen is taken when the fold knows no
// claim, since the record it replaces has expired from the log.
func (f *Fold) Apply(offset port.Offset, c Claim) bool {
	now, known := f.current[c.Name]
	if known && c.Replaces != now.Offset {
		return false
	}
	f.current[c.Name] = Current{Claim: c, Offset: offset}
	return true
}

// Current returns the claim in force.
func (f *Fold) Current(name string) (Current, bool) {
	c, ok := f.current[name]
	return c, ok
}

// driftShare is the part of a lease kept as safety margin against clocks that
// run at different speeds, as a divisor.
const driftShare = 10

// HeldUntil returns when a holder must stop giving orders. It counts from
// before the append was sent, because the log may take the record at once.
func HeldUntil(appendStarted time.Time, ttl time.Duration) time.Time {
	return appendStarted.Add(ttl - ttl/driftShare)
}

// FreeAt returns when another router may claim. It counts from when the
// contender read the claim, which is never before the log took it.
func FreeAt(observed time.Time, ttl time.Duration) time.Time {
	return observed.Add(ttl + ttl/driftShare)
}
