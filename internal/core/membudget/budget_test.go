package membudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// clock is a clock that tests set.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func (c *clock) pass(d time.Duration) { c.now = c.now.Add(d) }

const testBytes = 4 << 20

func newTestBudget(connections int) (*Budget, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	return New(Options{Bytes: testBytes, Connections: connections, Clock: c}), c
}

// conn is a connection that does what its holder is told.
type conn struct {
	*Holder
	gaveWay []Phase
}

func open(b *Budget) *conn {
	c := &conn{}
	c.Holder = b.Open(0, func(p Phase) bool { c.gaveWay = append(c.gaveWay, p); return true })
	return c
}

// fill takes bodies on new connections until there is no room for large holders.
func fill(b *Budget, each int64) []*conn {
	var all []*conn
	for {
		c := open(b)
		c.Enter(PhaseBody)
		if c.Take(KindBody, each) != Granted {
			c.Close()
			return all
		}
		all = append(all, c)
	}
}

// Guards against large bodies that leave no room for ordinary requests, and against requests
// that take more than there is.
func TestSmallRequestsHaveAReserve(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget(0)
	fill(b, 256<<10)
	is.True(b.held.Load() <= testBytes-testBytes/reserveDivisor)
	small := 0
	for {
		c := open(b)
		if c.Holder == nil || c.Take(KindBody, 16<<10) != Granted {
			break
		}
		small++
	}
	is.True(int64(small) >= testBytes/reserveDivisor/(ConnectionBytes+16<<10)-1)
	is.True(b.held.Load() <= testBytes)
}

// Guards against a holder that gives way although another has made no progress for longer, or
// before it has had the time of an ordinary client.
func TestLongestWithoutProgressGivesWay(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBudget(0)
	all := fill(b, 256<<10)
	clock.pass(time.Millisecond)
	for _, c := range all[:len(all)-1] {
		c.Progress()
	}
	longest := all[len(all)-1]
	asking := open(b)
	asking.Enter(PhaseBody)
	is.Equal(asking.Take(KindBody, 256<<10), Short)
	clock.pass(giveWayAfter / 2)
	all[0].Progress()
	clock.pass(giveWayAfter/2 + time.Millisecond)
	all[1].Progress()
	is.Equal(asking.Take(KindBody, 256<<10), Short) // until the other has returned its memory
	for _, c := range all {
		is.Equal(len(c.gaveWay) > 0, c == longest)
	}
	is.Equal(longest.Take(KindBody, 1), Lost)
	longest.Close()
	longest.Close()
	is.Equal(asking.Take(KindBody, 256<<10), Granted)
}

// Guards against a request that was read completely and is given up.
func TestCompleteRequestsNeverGiveWay(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBudget(0)
	all := fill(b, 256<<10)
	for _, c := range all {
		c.Enter(PhaseRunning)
	}
	clock.pass(time.Hour)
	asking := open(b)
	is.Equal(asking.Take(KindBody, 256<<10), Short)
	for _, c := range all {
		is.Equal(len(c.gaveWay), 0)
	}
	// A client that does not take its response is another matter.
	all[3].Enter(PhaseWriting)
	clock.pass(writeGiveWayAfter + time.Millisecond)
	is.Equal(asking.Take(KindBody, 256<<10), Short)
	is.Equal(all[3].gaveWay, []Phase{PhaseWriting})
}

// Guards against new clients that find no place because idle connections keep theirs, and
// against idle connections that are closed for the sake of a large body.
func TestIdleConnectionsGiveWayToNewOnes(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBudget(3)
	var all []*conn
	for range 3 {
		c := open(b)
		c.EndRequest()
		all = append(all, c)
		clock.pass(time.Millisecond)
	}
	is.Equal(open(b).Holder, nil)
	is.Equal(all[0].gaveWay, []Phase{PhaseIdle})
	is.Equal(open(b).Holder, nil)
	is.Equal(len(all[1].gaveWay), 0) // the first one's place is enough
	all[0].Close()
	last := open(b)
	is.True(last.Holder != nil)
	is.Equal(last.Take(KindBody, testBytes), Granted) // the only one of its size
	clock.pass(time.Hour)
	last.Enter(PhaseRunning)
	is.Equal(all[1].Take(KindBody, testBytes/2), Short)
	is.Equal(len(all[2].gaveWay), 0)
}

// Guards against connections that cost more than others, as with TLS, and leave no room for
// requests.
func TestCostlyConnectionsLeaveRoomForRequests(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget(0)
	const extra = 2 * ConnectionBytes
	for b.Open(extra, func(Phase) bool { return true }) != nil {
	}
	is.True(b.kinds[KindConnection].Load() <= testBytes/connectionsDivisor)
	is.True(b.kinds[KindConnection].Load() > testBytes/connectionsDivisor-2*(ConnectionBytes+extra))
}

// Guards against a request within the limits that can never be served because it is larger than
// the budget, and against many of them at once.
func TestOneRequestMayExceedTheBudget(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget(0)
	first, second := open(b), open(b)
	is.Equal(first.Take(KindBody, 2*testBytes), Granted)
	is.Equal(second.Take(KindBody, 2*testBytes), Short)
	first.EndRequest()
	is.Equal(second.Take(KindBody, 2*testBytes), Granted)
}

// Guards against waiting requests that are not told of memory that is returned.
func TestWaitersAreTold(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBudget(0)
	c := open(b)
	is.Equal(c.Take(KindBody, 64<<10), Granted)
	freed, done := b.Freed()
	defer done()
	clock.pass(time.Second)
	c.Return(KindBody, 64<<10)
	<-freed
}

// Guards against memory that is lost or counted twice, and against holders that together exceed
// the budget.
func TestMemoryIsCountedExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, clock := newTestBudget(rapid.IntRange(1, 40).Draw(t, "connections"))
		var all []*conn
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			clock.pass(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if len(all) == 0 || rapid.IntRange(0, 5).Draw(t, "open") == 0 {
				if c := open(b); c.Holder != nil {
					all = append(all, c)
				}
				continue
			}
			i := rapid.IntRange(0, len(all)-1).Draw(t, "holder")
			c := all[i]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				c.Enter(Phase(rapid.IntRange(int(PhaseIdle), int(PhaseWriting)).Draw(t, "phase")))
			case 1:
				c.EndRequest()
			case 2:
				c.Close()
				all = append(all[:i], all[i+1:]...)
			case 3:
				c.Progress()
			default:
				kind := Kind(rapid.IntRange(int(KindHead), int(KindReply)).Draw(t, "kind"))
				bytes := rapid.Int64Range(1, testBytes/2).Draw(t, "bytes")
				if c.Take(kind, bytes) == Granted && rapid.Bool().Draw(t, "return") {
					c.Return(kind, bytes)
				}
			}
			held := b.held.Load()
			if exceeding := b.oversize.Load(); exceeding != nil {
				held -= exceeding.total.Load()
			}
			if held > testBytes {
				t.Fatalf("%d bytes held", held)
			}
		}
		for _, c := range all {
			c.Close()
		}
		if s := b.Stats(); b.held.Load() != 0 || b.leaving != 0 || s.Connections != 0 || s.Held["bodies"] != 0 || s.Held["connections"] != 0 {
			t.Fatalf("left: %+v", s)
		}
	})
}
