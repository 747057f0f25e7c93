package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against two racing claims that both count.
func TestApplyTakesOneOfTwoRacingClaims(t *testing.T) {
	is := is.New(t)
	f := NewFold()
	is.True(f.Apply(4, Claim{Name: "orders", Holder: "a", TTLMs: 1000}))
	is.True(f.Apply(7, Claim{Name: "orders", Holder: "b", Replaces: 4, TTLMs: 1000}))
	is.True(!f.Apply(8, Claim{Name: "orders", Holder: "c", Replaces: 4, TTLMs: 1000}))
	current, ok := f.Current("orders")
	is.True(ok)
	is.Equal(current.Holder, "b")
	is.Equal(current.Offset, port.Offset(7))
}

// Guards against a holder and its successor that are active at the same time,
// for any delay of the append and any clock rate error under the margin.
func TestHolderStopsBeforeSuccessorStarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ttl := time.Duration(rapid.IntRange(100, 60_000).Draw(rt, "ttl_ms")) * time.Millisecond
		delay := time.Duration(rapid.IntRange(0, 10_000).Draw(rt, "append_delay_ms")) * time.Millisecond
		// The holder's clock runs slow, the contender's fast, by up to 5% each.
		slow := float64(rapid.IntRange(95, 100).Draw(rt, "slow_percent")) / 100
		fast := float64(rapid.IntRange(100, 105).Draw(rt, "fast_percent")) / 100
		start := time.Unix(0, 0)
		stops := float64(HeldUntil(start, ttl).Sub(start)) / slow
		starts := float64(delay) + float64(FreeAt(start, ttl).Sub(start))/fast
		if stops > starts {
			rt.Fatalf("holder stops at %v, successor starts at %v", time.Duration(stops), time.Duration(starts))
		}
	})
}

// Guards against other records of the stream being taken for claims.
func TestDecodeRefusesOtherRecords(t *testing.T) {
	for _, text := range []string{``, `{}`, `{"kind":"summary"}`, `{"kind":"lease_claim","name":"orders"}`, `[]`} {
		_, err := Decode([]byte(text))
		is.New(t).Equal(err, ErrNotClaim)
	}
}
