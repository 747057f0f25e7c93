package gatewaysync

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Times of the targets and the log in beatingTarget.
const (
	simStep     = 100 * time.Millisecond
	simInterval = 800 * time.Millisecond
	// maxLate is the longest delay of a late write, stableTime how long the log has been without
	// late writes when a target leaves.
	maxLate    = 6 * time.Second
	stableTime = 4 * time.Second
)

// beatingTarget writes heartbeats to the log, which removes its entry after three intervals of
// silence.
type beatingTarget struct {
	w           *fleetOfTwo
	start, beat int
	next        time.Time // of the next heartbeat
	written     time.Time // when the last one was stored
	// late are heartbeats without a response that are stored later.
	late []lateWrite
	// isCut is set while the target does not reach the log.
	isCut, hasLeft bool
}

type lateWrite struct {
	at    time.Time
	value string
}

// step lets the time of one step pass at the target and the log.
func (b *beatingTarget) step(isDown bool, delay func() time.Duration) {
	now := b.w.clock.now
	rest := b.late[:0]
	for _, l := range b.late {
		if now.Before(l.at) {
			rest = append(rest, l)
			continue
		}
		b.store(l.value)
	}
	b.late = rest
	if !b.hasLeft && !now.Before(b.next) {
		b.next = now.Add(testHeartbeat)
		b.beat++
		value := fmt.Sprintf("ready %d/%d", b.start, b.beat)
		switch d := delay(); {
		case isDown, b.isCut:
		case d > 0:
			b.late = append(b.late, lateWrite{now.Add(d), value})
		default:
			b.store(value)
		}
	}
	if !isDown && now.Sub(b.written) >= silentHeartbeats*testHeartbeat {
		b.remove()
	}
}

func (b *beatingTarget) store(value string) {
	b.written = b.w.clock.now
	b.w.log.add("t", value)
}

func (b *beatingTarget) remove() {
	if b.w.log.stored("t") != nil {
		b.w.log.add("t", "")
	}
}

// leave ends the heartbeats; the target does not report that it leaves.
func (b *beatingTarget) leave() {
	b.hasLeft = true
	b.remove()
}

// sim is a fleet that follows a beating target.
type sim struct {
	*fleetOfTwo
	target   *beatingTarget
	nextRead time.Time
	isDown   bool
	// relays is set while the other router reads from the reader.
	relays bool
	// lateShare is the share of heartbeats, in percent, that are stored late.
	lateShare int
	draw      func(label string, low, high int) int
}

// pass lets time pass and returns after the reads at its end.
func (s *sim) pass(d time.Duration) {
	for end := s.clock.now.Add(d); s.clock.now.Before(end); {
		s.clock.now = s.clock.now.Add(simStep)
		s.target.step(s.isDown, func() time.Duration {
			if s.draw("late", 1, 100) > s.lateShare {
				return 0
			}
			return time.Duration(s.draw("delay", 10, int(maxLate/simStep))) * simStep
		})
		if s.clock.now.Before(s.nextRead) {
			continue
		}
		s.nextRead = s.clock.now.Add(simInterval)
		s.readBoth()
	}
}

func (s *sim) readBoth() {
	s.log.setDown(s.isDown)
	for _, f := range []*recorder{s.reader, s.other} {
		if f == s.other && s.relays && f.readRelayed(s.t.Context()) {
			f.setLost(false, nil)
			continue
		}
		err := f.read(s.t.Context())
		f.setLost(err != nil, err)
	}
}

func (s *sim) wants(rt *rapid.T, known bool, when string) {
	for _, f := range []*recorder{s.reader, s.other} {
		if (s.known(f) != "") != known {
			rt.Fatalf("%s: known %q", when, s.known(f))
		}
	}
}

func newSim(t *testing.T, rt *rapid.T, unchanged func(older, newer []byte) bool) *sim {
	w := newFleetOfTwo(t)
	w.log.unchanged = unchanged
	s := &sim{fleetOfTwo: w, target: &beatingTarget{w: w, start: 1}, relays: rapid.Bool().Draw(rt, "relays"),
		draw: func(label string, low, high int) int { return rapid.IntRange(low, high).Draw(rt, label) }}
	w.reader.Interval, w.other.Interval = simInterval, simInterval
	s.pass(5 * time.Second)
	s.wants(rt, true, "at first")
	return s
}

// Guards against requests to a target that has left a stable log, whatever heartbeats of it are
// still to be stored.
func TestTargetsThatLeaveStayAway(t *testing.T) {
	for kind, unchanged := range stores {
		t.Run(kind, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				s := newSim(t, rt, unchanged)
				s.lateShare = 60
				s.pass(time.Duration(s.draw("impairment", 5, 80)) * simStep)
				s.lateShare = 0
				s.pass(stableTime + time.Duration(s.draw("pause", 1, 30))*simStep)
				s.target.leave()
				for range 20 {
					s.pass(simInterval)
					s.wants(rt, false, "after it left")
				}
			})
		})
	}
}

// Guards against targets that get no requests for long after an outage of the log or after they
// were cut off from it.
func TestTargetsThatAreBackAreUsed(t *testing.T) {
	for kind, unchanged := range stores {
		t.Run(kind, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				s := newSim(t, rt, unchanged)
				for range rapid.IntRange(1, 4).Draw(rt, "troubles") {
					switch rapid.SampledFrom([]string{"outage", "cut"}).Draw(rt, "trouble") {
					case "outage":
						s.isDown = true
						s.pass(time.Duration(s.draw("outage", 10, 200)) * simStep)
						s.isDown = false
						s.pass(testHeartbeat + simInterval + simStep)
						s.wants(rt, true, "after the outage")
					case "cut":
						s.target.isCut = true
						s.pass(time.Duration(s.draw("cut", 1, 200)) * simStep)
						s.target.isCut = false
						s.pass(testHeartbeat + s.reader.renewalTimeout() + simInterval + simStep)
						s.wants(rt, true, "after the cut")
					}
					s.pass(returnTimeout + simInterval)
				}
			})
		})
	}
}
