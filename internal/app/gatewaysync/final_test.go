package gatewaysync

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// stores are the kinds of log: one keeps a record of each heartbeat, the other only of those that
// change more than the sequence number.
var stores = map[string]func(older, newer []byte) bool{"all heartbeats": nil, "changes only": isSameStart}

// newFleetOnLog returns two routers that have read the log for a while without a failure.
func newFleetOnLog(t *testing.T, unchanged func(older, newer []byte) bool) *fleetOfTwo {
	w := newFleetOfTwo(t)
	w.log.unchanged = unchanged
	w.pass(returnTimeout, readLog)
	return w
}

// pass lets time pass in which the routers read as usual.
func (w *fleetOfTwo) pass(d time.Duration, read func(w *fleetOfTwo)) {
	const step = 500 * time.Millisecond
	for ; d > 0; d -= step {
		w.clock.now = w.clock.now.Add(min(d, step))
		w.read(w.reader)
		read(w)
	}
}

// startBeforeTheRemoval is the way of a router that starts, asks others, and then reads the
// removal itself.
var startBeforeTheRemoval = learning{before: func(w *fleetOfTwo) { w.start(); readLog(w) }, last: readLog, late: readLog, back: readLog}

// Guards against a target that is used again because of a heartbeat that no router has read and
// that was written after the removal of its entry, for each way by which a router learns of it;
// and against one that gets no requests although it is back.
func TestUnreadHeartbeatBehindARemoval(t *testing.T) {
	for kind, unchanged := range stores {
		ways := maps.Clone(learnings)
		ways["start before the removal"] = startBeforeTheRemoval
		for way, l := range ways {
			for name, c := range map[string]struct {
				written []string
				late    []string
				// expires is set if the target is silent, started if it has started again.
				expires, started bool
			}{
				"left":                         {written: []string{"ready 1/1", "ready 1/2", ""}, late: []string{"ready 1/9"}, expires: true},
				"left, changed before":         {written: []string{"ready 1/1", "weights-2 1/5", ""}, late: []string{"weights-2 1/9"}, expires: true},
				"left, another entry":          {written: []string{"ready 1/1", "ready 1/2", ""}, late: []string{"weights-2 1/9"}, expires: true},
				"left after draining":          {written: []string{"ready 1/1", "draining 1/5", ""}, late: []string{"ready 1/9"}, expires: true},
				"left, two late heartbeats":    {written: []string{"ready 1/1", ""}, late: []string{"ready 1/9", "ready 1/8"}, expires: true},
				"left, behind another writer":  {written: []string{"ready 1/1", "odd", ""}, late: []string{"ready 1/9"}, expires: true},
				"left, was removed before":     {written: []string{"ready 1/1", "", "ready 1/2", ""}, late: []string{"ready 1/9"}, expires: true},
				"back after it was cut off":    {written: []string{"ready 1/1", "ready 1/2", ""}, late: []string{"ready 1/9"}},
				"back, started again":          {written: []string{"ready 1/1", "ready 1/2", ""}, late: []string{"ready 1/9"}, started: true},
				"back, with an engine's entry": {written: []string{"weights-1 1/1", ""}, late: []string{"weights-1 1/9"}},
			} {
				t.Run(kind+"/"+way+"/"+name, func(t *testing.T) {
					is := is.New(t)
					w := newFleetOnLog(t, unchanged)
					do := func(step func(*fleetOfTwo)) {
						if step != nil {
							step(w)
						}
					}
					check := func(want string) {
						t.Helper()
						is.Equal(w.known(w.reader), want)
						is.Equal(w.known(w.other), want)
					}
					for i, value := range c.written {
						w.write(value)
						if i < len(c.written)-1 {
							do(l.before)
						}
					}
					do(l.last)
					for _, value := range c.late {
						w.write(value)
						do(l.late)
					}
					check("")
					w.pass(silentHeartbeats*testHeartbeat, l.back)
					check("")
					switch {
					case c.expires:
						w.write("")
						w.pass(w.reader.renewalTimeout(), l.back)
						check("")
					case c.started:
						w.write("ready 2/1")
						l.back(w)
						check("ready 2")
					default:
						w.pass(w.reader.renewalTimeout(), l.back)
						check(state(c.late[0]))
					}
				})
			}
		}
	}
}

// Guards against a router that takes a read that it missed for an outage of the log, and uses a
// target that has left.
func TestMissedReadIsNoOutage(t *testing.T) {
	is := is.New(t)
	w := newFleetOnLog(t, isSameStart)
	w.write("ready 1/1")
	readLog(w)
	w.log.setDown(true)
	w.clock.now = w.clock.now.Add(time.Second)
	is.True(w.other.read(t.Context()) != nil)
	w.clock.now = w.clock.now.Add(time.Second)
	w.log.setDown(false)
	for _, value := range []string{"", "ready 1/9"} {
		w.write(value)
		readLog(w)
	}
	is.Equal(w.known(w.other), "")
}

// Guards against a router that uses a target that has left because it was suspended between the
// response to a read and its use.
func TestLateResponseRenewsNothing(t *testing.T) {
	is := is.New(t)
	w := newFleetOnLog(t, isSameStart)
	for _, value := range []string{"ready 1/1", "", "ready 1/9"} {
		w.write(value)
		readLog(w)
	}
	w.log.onResponse = func() { w.clock.now = w.clock.now.Add(2 * w.other.renewalTimeout()) }
	readLog(w)
	is.Equal(w.known(w.other), "")
}

// Guards against a target that was frozen and gets no requests when it is back.
func TestSilentTargetIsUsedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newFleetOnLog(t, isSameStart)
	for _, f := range []*recorder{w.reader, w.other} {
		f.IsSilent = func(key string) bool { return key == "t" }
	}
	for _, value := range []string{"ready 1/1", "", "ready 1/9"} {
		w.write(value)
		relay(w)
	}
	is.Equal(w.known(w.reader), "ready 1")
	is.Equal(w.known(w.other), "ready 1")
}

// Guards against a target that is never used again by a router that reads the log from now on,
// because its entry was written while the router read from a relay, which held it back; and
// against a router that loads the whole log with each read.
func TestRouterThatBecomesAReaderKnowsWhatWasHeldBack(t *testing.T) {
	for kind, unchanged := range stores {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			w := newFleetOnLog(t, unchanged)
			isReader, ask := false, w.other.Relay
			w.other.Relay = func(ctx context.Context, stream string, from port.Offset) (port.Batch, bool, error) {
				if isReader {
					return port.Batch{}, false, nil
				}
				return ask(ctx, stream, from)
			}
			read := func(w *fleetOfTwo) {
				if !w.other.readRelayed(t.Context()) {
					w.read(w.other)
				}
			}
			for _, value := range []string{"ready 1/1", "", "ready 1/9"} {
				w.write(value)
				read(w)
			}
			w.pass(time.Second, read)
			is.Equal(w.known(w.other), "")
			isReader = true
			loads := w.log.newest
			w.pass(w.other.renewalTimeout(), read)
			is.Equal(w.known(w.other), "ready 1")
			is.Equal(w.log.newest, loads+1)
		})
	}
}
