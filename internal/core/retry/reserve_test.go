package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// oneArbiter decides for all routers of a test.
type oneArbiter struct {
	*Reservations
	now time.Time
}

func (a oneArbiter) Reserve(target string, fp Fingerprint) bool {
	return a.Reservations.Reserve(a.now, target, fp)
}

// Guards against a harmless request that is quarantined because it met a crashing
// request of another router on two targets.
func TestSuspectsOfTwoRoutersAreKeptApart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	arbiter := oneArbiter{NewReservations(), now}
	crashing, harmless := FingerprintOf("a", "crashing"), FingerprintOf("b", "harmless")
	first, second := NewCrashTracker(), NewCrashTracker()
	for _, f := range []*CrashTracker{first, second} {
		f.SetArbiter(arbiter)
	}
	is.True(first.Start(now, crashing, "t1", "a1"))
	is.True(second.Start(now, harmless, "t1", "b1"))
	first.Crashed(now, "t1", "life-1")
	second.Crashed(now, "t1", "life-1")
	first.Ended("t1", "a1")
	second.Ended("t1", "b1")

	is.True(first.Start(now, crashing, "t2", "a2"))
	is.True(!second.Start(now, harmless, "t2", "b2")) // the crashing request runs there
	is.True(second.Start(now, harmless, "t3", "b2"))
	first.Crashed(now, "t2", "life-1")
	second.Crashed(now, "t2", "life-1")
	first.Ended("t2", "a2")
	is.True(first.Quarantined(now, crashing))
	is.True(!second.Quarantined(now, harmless))

	is.True(first.Start(now, harmless, "t2", "a3")) // given back at the end of the attempt
}

// Guards against targets that stay reserved for a router that died.
func TestReservationsEnd(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewReservations()
	is.True(r.Reserve(now, "t1", 1))
	is.True(r.Reserve(now, "t1", 1)) // again by the same request
	is.True(!r.Reserve(now, "t1", 2))
	r.Release("t1", 2) // not the holder
	is.True(!r.Reserve(now, "t1", 2))
	is.True(r.Reserve(now.Add(reserveFor), "t1", 2))
}
