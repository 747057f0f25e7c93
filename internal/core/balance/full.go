package balance

import "time"

// fullBoundTTL is how long a target's refusal tells at how many requests it refuses: the bound
// is a setting of the target, but it may be replaced by one with other settings.
const fullBoundTTL = time.Minute

// FullBound is what is known of the number of running and waiting requests at which a target
// refuses more. The zero value knows nothing.
type FullBound struct {
	inFlight int
	seen     time.Time
}

// Refused returns the bound after the target refused a request with that many in flight.
func (b FullBound) Refused(now time.Time, inFlight int) FullBound { return FullBound{inFlight, now} }

// Accepted returns the bound after the target reported that many requests in flight with an
// answer: it refuses none below.
func (b FullBound) Accepted(inFlight int) FullBound {
	if b.inFlight > 0 && inFlight > b.inFlight {
		b.inFlight = inFlight
	}
	return b
}

// Reached reports whether the target refuses requests with that many in flight.
func (b FullBound) Reached(now time.Time, inFlight int) bool {
	return b.inFlight > 0 && inFlight >= b.inFlight && now.Sub(b.seen) < fullBoundTTL
}

// minRoomWait is the shortest time after which a full target is expected to have room: a request
// whose service time is not known yet.
const minRoomWait = 5 * time.Millisecond

// RoomWait returns the time until a target is expected to take a request, 0 if it may now. Only
// a report of as many requests as the target was seen to refuse at shows that it does not, and
// only for half of its service time: then some of them have ended, and a target that could have
// taken a request is worth more than the order in which requests wait.
func (b FullBound) RoomWait(now, reported time.Time, inFlight, slots int, service time.Duration) time.Duration {
	if now.Sub(reported) > service/2 || !b.Reached(now, inFlight) {
		return 0
	}
	return max(minRoomWait, service/time.Duration(max(slots, 1)))
}
