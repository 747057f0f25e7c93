package lease

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosaseam.example/mimosaseam/internal/port"
)

// TestMain fixes the seed of the property tests unless a flag sets another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func record(offset, after port.Offset, holder string) port.Record {
	data, _ := Encode(Claim{Holder: holder, After: after, TTLMs: 1000})
	return port.Record{Offset: offset, Data: data}
}

// Guards against two concurrent claims that both become valid.
func TestApplyAcceptsOneOfTwoConcurrentClaims(t *testing.T) {
	is := is.New(t)
	var s State
	is.True(s.Apply(record(1, 0, "a")))
	is.True(s.Apply(record(2, 1, "b")))
	is.True(!s.Apply(record(3, 1, "c")))
	is.True(!s.Apply(record(3, 2, "c"))) // an offset is applied only once
	current, ok := s.Current()
	is.True(ok)
	is.Equal(current.Holder, "b")
	is.Equal(current.Offset, port.Offset(2))
	is.Equal(s.LastOffset(), port.Offset(3))
}

// Guards against readers that disagree on the holder because they start at different
// offsets of the stream.
func TestReadersThatStartAnywhereAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var all []port.Record
		for offset := port.Offset(1); offset <= 30; offset++ {
			lag := port.Offset(rapid.IntRange(1, 3).Draw(rt, "lag"))
			all = append(all, record(offset, offset-min(lag, offset), rapid.StringMatching("[abc]").Draw(rt, "holder")))
		}
		var full, partial State
		from := rapid.IntRange(0, 29).Draw(rt, "from")
		for i, r := range all {
			valid := full.Apply(r)
			if i >= from && partial.Apply(r) != valid {
				rt.Fatalf("readers disagree on offset %d", r.Offset)
			}
		}
	})
}

// Guards against a holder and its successor that are active at the same time, for any
// append delay and any clock drift within the margin.
func TestHolderStopsBeforeSuccessorStarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ttl := time.Duration(rapid.IntRange(100, 60_000).Draw(rt, "ttl_ms")) * time.Millisecond
		delay := time.Duration(rapid.IntRange(0, 10_000).Draw(rt, "append_delay_ms")) * time.Millisecond
		// The holder's clock runs slow, the contender's fast, by up to 5% each.
		slow := float64(rapid.IntRange(95, 100).Draw(rt, "slow_percent")) / 100
		fast := float64(rapid.IntRange(100, 105).Draw(rt, "fast_percent")) / 100
		start := time.Unix(0, 0)
		stops := float64(HeldUntil(start, ttl).Sub(start)) / slow
		starts := float64(delay) + float64(ClaimableAt(start, ttl).Sub(start))/fast
		if stops > starts {
			rt.Fatalf("holder stops at %v, successor starts at %v", time.Duration(stops), time.Duration(starts))
		}
	})
}

// Guards against other records that are decoded as claims.
func TestDecodeRefusesOtherRecords(t *testing.T) {
	for _, text := range []string{``, `{}`, `{"holder":"a"}`, `{"ttl_ms":1000}`, `[]`} {
		_, err := Decode([]byte(text))
		is.New(t).Equal(err, ErrNotClaim)
	}
}

// Guards against a claim of another writer that keeps the lease from all routers for good, or
// overflows the time for which it holds.
func TestDecodeRefusesClaimsWithoutEnd(t *testing.T) {
	is := is.New(t)
	for _, ttl := range []string{"3600001", "1000000000000", "9223372036854775807", "-1", "0", "1e300", `"1000"`} {
		_, err := Decode([]byte(`{"holder":"a","after":0,"ttl_ms":` + ttl + `}`))
		is.Equal(err, ErrNotClaim)
	}
	_, err := Decode([]byte(`{"holder":"a","after":0,"ttl_ms":300000}`))
	is.NoErr(err)
}
