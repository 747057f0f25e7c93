package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// sharedArbiter is the Arbiter of all routers of a test.
type sharedArbiter struct {
	*Reservations
	now time.Time
}

func (a sharedArbiter) Reserve(target string, fp Fingerprint) bool {
	return a.Reservations.Reserve(a.now, target, fp)
}

// Guards against a harmless request that is quarantined because it shared two targets
// with a crashing request of another router.
func TestSuspectsOfTwoRoutersAreIsolated(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	arbiter := sharedArbiter{NewReservations(), now}
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

	is.True(first.Start(now, harmless, "t2", "a3")) // released at the end of the attempt
}

// Guards against targets that stay reserved for a router that has failed.
func TestReservationsExpire(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewReservations()
	is.True(r.Reserve(now, "t1", 1))
	is.True(r.Reserve(now, "t1", 1)) // renewal by the same request
	is.True(!r.Reserve(now, "t1", 2))
	r.Release("t1", 2) // not the holder
	is.True(!r.Reserve(now, "t1", 2))
	is.True(r.Reserve(now.Add(reservationTTL), "t1", 2))
}
