package allotment

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

// after returns a time of the tests.
func after(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("vm-%d", i)
	}
	return list
}

func known(l Limit) func(Key) (Limit, bool) { return func(Key) (Limit, bool) { return l, true } }

// fleet is an allocator with the tickets of its routers.
type fleet struct {
	*Allocator
	limit   Limit
	routers []string
	tickets map[string]uint64
}

func newFleet(n int, limit Limit) *fleet {
	f := &fleet{Allocator: NewAllocator(epoch, Settings{}, 7), limit: limit, routers: names(n), tickets: map[string]uint64{}}
	f.SetRouters(epoch, f.routers)
	return f
}

// draw sends a message of the router with its last ticket.
func (f *fleet) draw(now time.Time, router string, wants ...Want) Answer {
	for i := range wants {
		wants[i].Limit = f.limit
	}
	a := f.Handle(now, Draw{Router: router, Groups: 1, Ticket: f.tickets[router], TicketOf: 7, Term: Term(len(f.routers)), MayAttach: true, Wants: wants}, known(f.limit))
	f.tickets[router] = a.Ticket
	return a
}

// attachAll attaches the first routers from the given time on.
func (f *fleet) attachAll(now time.Time, count int) {
	for range 2 {
		for _, r := range f.routers[:count] {
			f.draw(now, r)
		}
	}
}

// available returns what a router gets that asks for everything.
func (f *fleet) available(now time.Time) float64 {
	a := f.draw(now, f.routers[0], Want{Key: "a", Tokens: 1e9})
	if len(a.Grants) == 0 {
		return 0
	}
	return a.Grants[0].Tokens
}

func near(is *is.I, got, want float64) {
	is.Helper()
	if math.Abs(got-want) > 1e-6*max(1, want) {
		is.Equal(got, want)
	}
}

// Guards against a share that lets two sides of a partition spend more than the limit.
func TestAllocatorShare(t *testing.T) {
	for _, c := range []struct {
		attached, n int
		want        float64
	}{
		{0, 0, 0}, {0, 5, 0}, {1, 1, 1}, {1, 2, 0.15}, {2, 2, 1}, {2, 3, 0.9}, {1, 3, 0.1}, {3, 6, 0.15}, {4, 6, 0.9}, {40, 60, 0.9}, {70, 60, 1},
	} {
		near(is.New(t), allocatorShare(c.attached, c.n), c.want)
	}
}

// Guards against a fresh burst of a router that becomes allocator, also for accounts
// that are first seen long after.
func TestBucketsAreEmptyAtTakeover(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, Limit{Rate: 10, Burst: 100})
	f.attachAll(after(0), 3)
	near(is, f.available(after(0)), 0)
	f = newFleet(3, Limit{Rate: 10, Burst: 100})
	f.attachAll(after(0), 3)
	near(is, f.available(after(1)), 10)
}

// Guards against tokens that accrue while few routers are attached, and against a
// bucket that keeps the tokens that another allocator may hand out again.
func TestBucketFollowsTheShare(t *testing.T) {
	is := is.New(t)
	f := newFleet(10, Limit{Rate: 10, Burst: 10})
	f.attachAll(after(0), 10)
	near(is, f.available(after(1)), 10)
	f.attachAll(after(2), 10)
	f.attachAll(after(3), 10)
	// All attachments end at 4.5 s. The bucket is full at that time and empty after.
	f.attachAll(after(5), 10)
	near(is, f.available(after(5)), 0)
	near(is, f.available(after(5.25)), 2.5)

	// Six of ten routers end at 8 s: the share falls from 1 to 0.12 while the bucket is
	// full, and is 1 again at 9 s. The level at 9 s is at most the capacity in between.
	f.attachAll(after(6.5), 10)
	f.attachAll(after(7.9), 4)
	f.attachAll(after(9), 10)
	near(is, f.available(after(9)), 0.12*10*1.1)
}

// Guards against an attachment by anything but a fresh ticket of this process.
func TestOnlyAFreshTicketAttaches(t *testing.T) {
	is := is.New(t)
	a := NewAllocator(epoch, Settings{}, 7)
	a.SetRouters(epoch, names(3))
	ticket := a.Handle(after(1), Draw{Router: "vm-0", Groups: 1, MayAttach: true, Term: time.Minute}, known(Limit{})).Ticket
	is.Equal(a.Attached(after(1)), 0) // a message without a ticket
	good := Draw{Router: "vm-0", Groups: 1, Ticket: ticket, TicketOf: 7, Term: 1500 * time.Millisecond, MayAttach: true}
	for name, change := range map[string]func(*Draw){
		"another incarnation": func(d *Draw) { d.TicketOf = 8 },
		"a new router":        func(d *Draw) { d.MayAttach = false },
		"an unknown router":   func(d *Draw) { d.Router = "vm-9" },
		"a future ticket":     func(d *Draw) { d.Ticket += uint64(time.Minute) },
		"an old ticket":       func(d *Draw) { d.Ticket -= uint64(time.Minute) },
		"no term":             func(d *Draw) { d.Term = 0 },
	} {
		d := good
		change(&d)
		a.Handle(after(1.1), d, known(Limit{}))
		if a.Attached(after(1.1)) != 0 {
			t.Errorf("%s attached", name)
		}
	}
	a.Handle(after(2), good, known(Limit{}))
	is.Equal(a.Attached(after(2.4)), 1)
	is.Equal(a.Attached(after(2.5)), 0) // the term counts from the ticket, not from the message
}

// Guards against a majority of an allocator that has not learned of new routers yet,
// although a router that is attached to it has.
func TestAllocatorCountsWhatItsRoutersCount(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, Limit{Rate: 10, Burst: 10})
	f.attachAll(after(0), 2)
	is.True(f.majority())
	d := Draw{Router: "vm-0", Groups: 1, Ticket: f.tickets["vm-0"], TicketOf: 7, Term: Term(3), MayAttach: true, Routers: 4}
	is.True(!f.Handle(after(1), d, known(f.limit)).Majority)
	f.attachAll(after(2), 2)
	is.True(!f.majority())
	f.attachAll(after(9), 2)
	is.True(f.majority())
}

// Guards against N that falls while removed routers may still spend.
func TestRoutersAreCountedAfterTheirRemoval(t *testing.T) {
	is := is.New(t)
	var c routerCount
	c.set(after(0), 6)
	c.set(after(1), 3)
	c.set(after(2), 4)
	is.Equal(c.at(after(8.9)), 6)
	is.Equal(c.at(after(9)), 4)
	c.set(after(10), 2)
	c.set(after(11), 1)
	is.Equal(c.at(after(18.5)), 4)
	is.Equal(c.at(after(19)), 1)
	c.set(after(20), 9)
	is.Equal(c.at(after(20)), 9)
}

// Guards against tokens that come back too late, twice, or although the bucket and
// what is granted fill the burst.
func TestReturnedTokens(t *testing.T) {
	for _, c := range []struct {
		name       string
		at         float64
		returned   float64
		twice      bool
		ticketBack time.Duration
		want       float64
	}{
		{name: "in time", at: 1.6, returned: 5, want: 6 + 5},
		{name: "more than granted", at: 1.6, returned: 50, want: 6 + 10},
		{name: "twice", at: 1.6, returned: 7, twice: true, want: 6 + 10},
		{name: "too late", at: 1.75, returned: 5, want: 7.5},
		{name: "of an earlier time", at: 1.6, returned: 5, ticketBack: 500 * time.Millisecond, want: 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, Limit{Rate: 10, Burst: 100})
			f.attachAll(after(0), 1)
			f.attachAll(after(1), 1)
			near(is, f.available(after(1)), 10)
			ticket := f.tickets["vm-0"] - uint64(c.ticketBack)
			want := Want{Key: "a", Returned: c.returned, GrantTicket: ticket}
			f.draw(after(c.at), "vm-0", want)
			if c.twice {
				f.draw(after(c.at), "vm-0", want)
			}
			near(is, f.available(after(c.at)), c.want)
		})
	}
}

// Guards against tokens that come back so late that their count is in use for newer
// grants.
func TestReturnOfAnOldGrantIsNotTakenFromANewOne(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, Limit{Rate: 10, Burst: 100})
	f.attachAll(after(0), 1)
	f.attachAll(after(1), 1)
	near(is, f.available(after(1)), 10)
	old := f.tickets["vm-0"]
	again := after(1).Add(grantSlots * f.slotLength())
	granted := f.available(again)
	is.True(granted > 8)
	f.draw(again, "vm-0", Want{Key: "a", Returned: 8, GrantTicket: old})
	near(is, f.available(again), 0)
}

// Guards against routers that hoard several bursts by returning and drawing tokens in
// turn: without the bound, 20 routers hold more than 5 bursts after some seconds.
func TestReturnsDoNotHoard(t *testing.T) {
	f := newFleet(1, Limit{Rate: 10, Burst: 10})
	f.attachAll(after(0), 1)
	type grant struct {
		tokens float64
		ticket uint64
	}
	held := make([]grant, 20)
	worst := 0.0
	for step := range 2000 {
		i, now := step%len(held), after(float64(step)*0.03)
		f.tickets["vm-0"] = uint64(now.UnixNano())
		a := f.draw(now, "vm-0", Want{Key: "a", Tokens: 10, Returned: held[i].tokens, GrantTicket: held[i].ticket})
		held[i] = grant{ticket: a.Ticket}
		if len(a.Grants) > 0 {
			held[i].tokens = a.Grants[0].Tokens
		}
		sum := 0.0
		for _, h := range held {
			sum += h.tokens
		}
		worst = max(worst, sum)
	}
	// The burst, and what accrues while tokens can be returned.
	if worst > 10+10*0.72 {
		t.Errorf("the routers held %.1f tokens of a burst of 10", worst)
	}
}

// Guards against a lowered limit that binds only after the old burst is spent, and
// against one that waits for the configuration of the allocator.
func TestLoweredLimitBindsAtOnce(t *testing.T) {
	is := is.New(t)
	for _, knows := range []string{"allocator", "sender"} {
		f := newFleet(1, Limit{Rate: 100, Burst: 100})
		f.attachAll(after(0), 1)
		f.draw(after(1), "vm-0", Want{Key: "a"})
		f.attachAll(after(1.4), 1)
		low, old := Limit{Rate: 10, Burst: 10}, f.limit
		own, sender := low, old
		if knows == "sender" {
			own, sender = old, low
		}
		a := f.Handle(after(2), Draw{Router: "vm-0", Groups: 1, Wants: []Want{{Key: "a", Tokens: 1000, Limit: sender}}}, known(own))
		near(is, a.Grants[0].Tokens, 10)
	}
}

// Guards against a debt that is forgiven or does not delay later requests.
func TestDebtIsPaidBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, Limit{Rate: 10, Burst: 10})
	f.attachAll(after(0), 1)
	f.draw(after(1), "vm-0", Want{Key: "a", Charged: 25})
	f.attachAll(after(1), 1)
	a := f.draw(after(2), "vm-0", Want{Key: "a", Tokens: 5, Least: 5})
	near(is, a.Grants[0].Tokens, 0)
	near(is, a.Grants[0].Wait.Seconds(), 1) // from -5 to 5
	f.attachAll(after(2), 1)
	near(is, f.available(after(3)), 5)
}

// Guards against small requests that take each token as it accrues, so that a large
// one never finds enough.
func TestLargeRequestIsNotOvertakenForever(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, Limit{Rate: 10, Burst: 20})
	f.attachAll(after(0), 2)
	large, small := 0.0, 0.0
	for step := 1; step <= 600; step++ {
		now := after(float64(step) * 0.05)
		if a := f.draw(now, "vm-0", Want{Key: "a", Tokens: 1, Least: 1}); len(a.Grants) > 0 {
			small += a.Grants[0].Tokens
		}
		if a := f.draw(now, "vm-1", Want{Key: "a", Tokens: 15, Least: 15}); len(a.Grants) > 0 {
			large += a.Grants[0].Tokens
		}
	}
	t.Logf("large %.0f, small %.0f", large, small)
	is.True(large >= 300*0.3) // of 300 tokens in 30 s
	is.True(small >= 300*0.3)
	is.True(large+small >= 300*0.95)
}

// Guards against advance grants that take the tokens from requests that are waiting.
func TestAdvanceGrantsLeaveHalfOfTheBurst(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, Limit{Rate: 10, Burst: 10})
	f.attachAll(after(0), 1)
	near(is, f.draw(after(1), "vm-0", Want{Key: "a", Ahead: 100}).Grants[0].Tokens, 1.25)
	f.draw(after(1), "vm-0", Want{Key: "a", Tokens: 5})
	is.Equal(len(f.draw(after(1), "vm-0", Want{Key: "a", Ahead: 100}).Grants), 0)
}

// Guards against buckets that are kept for all accounts ever seen, and against a burst
// that evicting gives.
func TestIdleBucketsAreEvicted(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, Limit{Rate: 1000, Burst: 100})
	keep := func(from, to float64) {
		for s := from; s < to; s++ {
			f.attachAll(after(s), 1)
		}
	}
	keep(0, 5)
	for i := range 9500 {
		f.draw(after(5), "vm-0", Want{Key: Key(fmt.Sprint(i)), Tokens: 1})
	}
	is.Equal(len(f.buckets), 9500)
	keep(5, 20)
	is.Equal(len(f.buckets), 0)
	near(is, f.available(after(20)), 100)
	near(is, f.available(after(20)), 0)
}
