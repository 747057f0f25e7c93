package balance

import "time"

// fullBoundTTL is how long a target's refusal tells at how many requests it refuses: the bound
// is a setting of the target, but it may be replaced by one with other settings.
const fullBoundTTL = time.Minute

// FullBound is the number of running and waiting requests at which a target was seen to refuse
// more. Nil knows nothing.
type FullBound struct {
	InFlight int
	Seen     time.Time
}

// Accepted returns the bound after the target reported that many requests in flight with an
// answer: it refuses none below.
func (b *FullBound) Accepted(inFlight int) *FullBound {
	if b == nil || inFlight <= b.InFlight {
		return b
	}
	return &FullBound{inFlight, b.Seen}
}

// Reached reports whether the target refuses requests with that many in flight.
func (b *FullBound) Reached(now time.Time, inFlight int) bool {
	return b != nil && inFlight >= b.InFlight && now.Sub(b.Seen) < fullBoundTTL
}

// minRoomWait is the shortest time after which a full target is expected to have room: a request
// whose service time is not known yet.
const minRoomWait = 5 * time.Millisecond

// RoomWait returns the time until a target is expected to take a request, 0 if it may now. Only
// a report of as many requests as the target was seen to refuse at shows that it does not, and
// only for half of its service time: then some of them have ended, and a target that could have
// taken a request is worth more than the order in which requests wait.
func (b *FullBound) RoomWait(now, reported time.Time, inFlight, slots int, service time.Duration) time.Duration {
	if b == nil || now.Sub(reported) > service/2 || !b.Reached(now, inFlight) {
		return 0
	}
	return max(minRoomWait, service/time.Duration(max(slots, 1)))
}
