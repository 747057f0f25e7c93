package gatewaysync

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosaseam.example/mimosaseam/internal/port"
)

// dated reads the number of a start and of a heartbeat as a value's revision, as in
// "ready 2/5". A value without them has none.
func dated(_ string, value []byte) (port.Revision, bool) {
	_, counts, _ := strings.Cut(string(value), " ")
	start, beat, _ := strings.Cut(counts, "/")
	epoch, err := strconv.ParseInt(start, 10, 64)
	number, err2 := strconv.ParseInt(beat, 10, 64)
	return port.Revision{Epoch: epoch, Number: number}, err == nil && err2 == nil
}

// isSameStart reports whether two values differ in the number of the heartbeat only.
func isSameStart(a, b []byte) bool { return state(string(a)) == state(string(b)) }

// state returns the value without the number of the heartbeat.
func state(value string) string { text, _, _ := strings.Cut(value, "/"); return text }

// testHeartbeat is the time between two writes of a target's entry.
const testHeartbeat = 1200 * time.Millisecond

// fleetOfTwo is a router that has read all records of a target, and another one.
type fleetOfTwo struct {
	t             *testing.T
	log           *fakeLog
	clock         *manualClock
	reader, other *recorder
	writes        int
	// found is set once the routers know each other.
	found bool
}

// newFleetOfTwo returns routers that have read the log again after an outage. Until time passes,
// no removal is final.
func newFleetOfTwo(t *testing.T) *fleetOfTwo {
	w := &fleetOfTwo{t: t, log: &fakeLog{}, clock: &manualClock{now: time.Unix(1000, 0)}, found: true}
	w.reader = w.router(nil)
	w.other = w.router(w.reader)
	w.log.add("other", "ready 1/1")
	w.read(w.reader)
	w.read(w.other)
	w.read(w.other) // asks the reader
	w.clock.now = w.clock.now.Add(outageHeartbeats * testHeartbeat)
	w.read(w.reader)
	w.read(w.other)
	return w
}

// start replaces the other router by one that starts.
func (w *fleetOfTwo) start() {
	w.other = w.router(w.reader)
	w.read(w.other)
}

// router returns a router that reads the targets' entries.
func (w *fleetOfTwo) router(peer *recorder) *recorder {
	f := newRecorder(w.log, nil)
	f.Follower = Targets(f.Follower, 0, testHeartbeat)
	f.Clock = w.clock
	f.Wait, f.Revision, f.Unchanged, f.IsLogOnly = 0, dated, isSameStart, true
	f.Peers = func(ctx context.Context, stream string, from port.Offset) []port.Batch {
		if peer == nil || !w.found {
			return nil
		}
		b, err := peer.Records(ctx, stream, from, 0)
		if err != nil {
			return nil
		}
		return []port.Batch{b}
	}
	f.Relay = func(ctx context.Context, stream string, from port.Offset) (port.Batch, bool, error) {
		b, err := peer.Records(ctx, stream, from, 0)
		return b, true, err
	}
	return f
}

func (w *fleetOfTwo) read(f *recorder) {
	w.t.Helper()
	if err := f.read(w.t.Context()); err != nil {
		w.t.Fatal(err)
	}
}

// write adds a record that the reader reads.
func (w *fleetOfTwo) write(value string) {
	w.writes++
	w.log.add("t", value)
	w.read(w.reader)
}

func (w *fleetOfTwo) known(f *recorder) string {
	values, _ := f.state()
	return state(values["t"])
}

// learning is a way by which a router learns of a target: what it does after each record, after
// the last one before the late one, after that, and after the target has written again.
type learning struct{ before, last, late, back func(w *fleetOfTwo) }

var learnings = map[string]learning{
	"own reads":         {before: readLog, last: readLog, late: readLog, back: readLog},
	"one read":          {late: readLog, back: readLog},
	"full load":         {before: readLog, late: loadLog, back: readLog},
	"full load before":  {before: readLog, last: loadLog, late: readLog, back: readLog},
	"relay":             {before: relay, last: relay, late: relay, back: relay},
	"relay, then log":   {before: relay, last: relay, late: readLog, back: relay},
	"log, then relay":   {before: relay, last: func(w *fleetOfTwo) { readLog(w); relay(w) }, late: readLog, back: relay},
	"log after a relay": {before: relay, last: readLog, late: readLog, back: readLog},
	"full load without the last records": {
		before: func(w *fleetOfTwo) {
			if w.writes == 1 {
				readLog(w)
			}
		},
		late: loadLog, back: readLog},
	"start": {late: func(w *fleetOfTwo) { w.start(); readLog(w) }, back: readLog},
	"start before the routers know each other": {
		late: func(w *fleetOfTwo) { w.found = false; w.start(); readLog(w); w.found = true; readLog(w) }, back: readLog},
	"start behind a relay": {late: func(w *fleetOfTwo) { w.start(); relay(w) }, back: relay},
	"restored log": {before: readLog, last: readLog,
		late: func(w *fleetOfTwo) {
			late := w.log.records[len(w.log.records)-1]
			w.log.restore(len(w.log.records) - 2)
			w.log.add(late.Key, string(late.Value))
			readLog(w)
		}, back: readLog},
}

func readLog(w *fleetOfTwo) { w.read(w.other) }

// loadLog makes the router read the newest records of all keys: the others have expired.
func loadLog(w *fleetOfTwo) { w.log.expired = len(w.log.records); readLog(w) }

func relay(w *fleetOfTwo) {
	w.t.Helper()
	if !w.other.readRelayed(w.t.Context()) {
		w.t.Fatal("not relayed")
	}
}

// Guards against a target that is used again, or whose departure is forgotten, because one of
// its older entries was written late, and against a target that is back and gets no requests.
func TestLateEntriesOfTargets(t *testing.T) {
	news := map[string]struct {
		written []string
		late    string
		want    string
		// back are entries of the target when it is back.
		back []string
	}{
		"heartbeat behind the removal": {[]string{"ready 1/1", "ready 1/2", "ready 1/3", "ready 1/4", ""}, "ready 1/3", "", []string{"ready 1/5", "ready 2/1"}},
		"last heartbeat again":         {[]string{"ready 1/1", "ready 1/2", ""}, "ready 1/2", "", []string{"ready 1/3", "ready 2/1"}},
		"ready behind draining":        {[]string{"ready 1/1", "ready 1/2", "draining 1/3"}, "ready 1/2", "draining 1", []string{"ready 2/1"}},
		"ready behind draining and the removal": {[]string{"ready 1/1", "ready 1/2", "draining 1/3", ""}, "ready 1/2", "",
			[]string{"ready 2/1"}},
		"an earlier start":                    {[]string{"ready 1/8", "ready 1/9", "", "ready 2/1"}, "ready 1/9", "ready 2", []string{"draining 2/2"}},
		"an earlier start behind the removal": {[]string{"ready 1/8", "ready 1/9", "", "ready 2/1", ""}, "ready 1/9", "", []string{"ready 2/2", "ready 3/1"}},
		"behind another writer's entry":       {[]string{"ready 1/1", "ready 1/2", "odd", ""}, "ready 1/2", "", []string{"ready 1/3", "ready 2/1"}},
	}
	for way, l := range learnings {
		for name, n := range news {
			for _, back := range n.back {
				t.Run(way+"/"+name+"/"+back, func(t *testing.T) {
					is := is.New(t)
					w := newFleetOfTwo(t)
					do := func(step func(*fleetOfTwo)) {
						if step != nil {
							step(w)
						}
					}
					for i, value := range n.written {
						w.write(value)
						if i < len(n.written)-1 {
							do(l.before)
						}
					}
					do(l.last)
					w.write(n.late)
					do(l.late)
					is.Equal(w.known(w.other), n.want)
					is.Equal(w.known(w.reader), n.want)
					w.write(back)
					do(l.back)
					is.Equal(w.known(w.other), state(back))
					is.Equal(w.known(w.reader), state(back))
				})
			}
		}
	}
}

// Guards against a router that knows another state of a target than the one that it wrote last,
// for any series of late entries and any mix of ways to learn of them.
func TestLateEntriesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newFleetOfTwo(t)
		start, beat, last := 1, 1, ""
		var written []string
		write := func(state string) {
			last = state + " " + strconv.Itoa(start)
			written = append(written, last+"/"+strconv.Itoa(beat))
			w.write(written[len(written)-1])
			beat++
		}
		write("ready")
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"beat", "drain", "remove", "restart", "late", "late"}).Draw(rt, "event") {
			case "beat":
				write("ready")
			case "drain":
				write("draining")
			case "remove":
				last = ""
				w.write("")
			case "restart":
				start, beat = start+1, 1
				write("ready")
			case "late":
				w.write(rapid.SampledFrom(written).Draw(rt, "entry"))
			}
			switch rapid.SampledFrom([]string{"nothing", "read", "read", "relay", "relay", "load", "start"}).Draw(rt, "way") {
			case "nothing":
				continue
			case "read":
				readLog(w)
			case "relay":
				relay(w)
			case "load":
				loadLog(w)
			case "start":
				w.start()
				w.other.unavailableAt = w.clock.now // it has seen the outage, too
				readLog(w)
			}
			for name, f := range map[string]*recorder{"reader": w.reader, "other": w.other} {
				if known := w.known(f); known != last {
					rt.Fatalf("the %s knows %q, not %q", name, known, last)
				}
			}
		}
	})
}

// Guards against targets that are not used at once when all of them are back after an outage in
// which their entries expired.
func TestTargetsAreBackAfterAnOutage(t *testing.T) {
	is := is.New(t)
	w := newFleetOfTwo(t)
	w.write("ready 1/7")
	relay(w)
	w.write("")
	w.write("ready 1/8")
	relay(w)
	for _, f := range []*recorder{w.reader, w.other} {
		is.Equal(w.known(f), "ready 1")
	}
}

// Guards against a target that is lost for good because the log holds an older entry of it, which
// it renews without another record, or because another writer's revision is beyond its own; and
// against one that is used though it is silent.
func TestOlderEntryThatIsRenewed(t *testing.T) {
	for name, c := range map[string]struct {
		written []string
		late    string
		// then happens after 4 s: the entry expires, or the log is away for a while.
		expires, isAway bool
		before, after   string
	}{
		"renewed behind the removal": {[]string{"ready 1/1", "ready 1/4", ""}, "ready 1/3", false, false, "", "ready 1"},
		"expired":                    {[]string{"ready 1/1", "ready 1/4", ""}, "ready 1/3", true, false, "", ""},
		"expires after an outage":    {[]string{"ready 1/1", "ready 1/4", ""}, "ready 1/3", false, true, "", ""},
		"behind a revision beyond all others": {[]string{"ready 1/1", "draining 1/9000000000000000000"}, "ready 1/2", false, false,
			"draining 1", "ready 1"},
		"says nothing new": {[]string{"ready 1/1", "ready 1/4"}, "ready 1/3", false, false, "ready 1", "ready 1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newFleetOfTwo(t)
			for _, value := range c.written {
				w.write(value)
				relay(w)
			}
			w.write(c.late)
			relay(w)
			started := w.router(w.reader)
			pass := func(d time.Duration) {
				w.clock.now = w.clock.now.Add(d)
				w.read(w.reader)
				relay(w)
				w.read(started)
			}
			w.read(started)
			pass(time.Second)
			routers := map[string]*recorder{"reader": w.reader, "relayed": w.other, "started": started}
			pass(3 * time.Second)
			if c.expires {
				w.write("")
			}
			if c.isAway {
				for _, f := range routers {
					f.setLost(true, errDown)
				}
				w.clock.now = w.clock.now.Add(w.reader.renewalTimeout())
				for _, f := range routers {
					f.setLost(false, nil)
				}
			}
			pass(w.reader.renewalTimeout() - 5*time.Second)
			for name, f := range routers {
				t.Log(name)
				is.Equal(w.known(f), c.before)
			}
			if c.isAway {
				w.write("")
			}
			pass(5 * time.Second)
			pass(0)
			for name, f := range routers {
				t.Log(name)
				is.Equal(w.known(f), c.after)
			}
		})
	}
}

// manualClock is a clock that the test moves.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// Guards against a start of many routers that send each other all that the log tells.
func TestOnlyHiddenEntriesAreConfirmed(t *testing.T) {
	is := is.New(t)
	w := newFleetOfTwo(t)
	for _, value := range []string{"ready 1/1", "draining 1/3", "ready 1/2"} {
		w.write(value)
	}
	w.log.add("gone", "ready 1/4")
	w.log.add("gone", "")
	w.read(w.reader)
	b, err := w.reader.Records(t.Context(), w.reader.Name, port.OffsetHidden, 0)
	is.NoErr(err)
	is.Equal(len(b.Records), 2) // "other" is as the log tells
	is.Equal(string(b.Records[0].Data), "draining 1/3")
	is.Equal(*b.Records[1].LastRevision, port.Revision{Epoch: 1, Number: 4})
}

// Guards against an older configuration that was written late: behind a newer one, at a router
// that starts meanwhile, and at one that asks it while the log is away.
func TestLateConfiguration(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{}
	log.add("config", "v 1")
	reader := newConfirmed(log)
	reader.Wait = 0
	is.NoErr(reader.read(t.Context()))
	log.add("config", "v 3")
	is.NoErr(reader.read(t.Context()))
	log.add("config", "v 2")
	is.NoErr(reader.read(t.Context()))
	started := newRevised(log, reader)
	started.Wait = 0
	is.NoErr(started.read(t.Context()))
	is.NoErr(started.read(t.Context()))
	away := newRevised(&fakeLog{down: true}, started)
	away.readFromPeers(t.Context())
	for _, f := range []*recorder{reader, started, away} {
		values, _ := f.state()
		is.Equal(values["config"], "v 3")
	}
	log.add("config", "v 4")
	for _, f := range []*recorder{reader, started} {
		is.NoErr(f.read(t.Context()))
	}
	away.readFromPeers(t.Context())
	for _, f := range []*recorder{reader, started, away} {
		values, _ := f.state()
		is.Equal(values["config"], "v 4")
	}
}
