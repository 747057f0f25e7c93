package allotment

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newClient returns a client of vm-0 in a fleet of n routers that are all alive.
func newClient(n int) *Client {
	c := NewClient(Settings{}, "vm-0", 1, func() float64 { return 0.5 })
	c.SetRouters(epoch, names(n), names(n), true)
	return c
}

// newAsking returns a client in a fleet of 3 that may not attach yet, so that it spends
// only what it is granted.
func newAsking() *Client {
	c := NewClient(Settings{}, "vm-0", 1, func() float64 { return 0.5 })
	c.SetRouters(epoch, names(3), names(3), false)
	return c
}

var limit = Limit{Rate: 100, Burst: 100}

// draw returns the only message that is due.
func draw(is *is.I, c *Client, now time.Time) OutgoingDraw {
	is.Helper()
	due := c.Draws(now)
	is.Equal(len(due), 1)
	return due[0]
}

func granting(ticket uint64, grants ...Grant) Answer {
	return Answer{Ticket: ticket, Incarnation: 7, Majority: true, Grants: grants}
}

// Guards against requests that are held or charged without a limit.
func TestRequestsWithoutLimitAreAdmitted(t *testing.T) {
	is := is.New(t)
	c := newClient(3)
	is.Equal(c.Take(epoch, "a", Limit{}, 1e9, 0).Outcome, Admitted)
	is.Equal(c.Take(epoch, "a", limit, 0, 0).Outcome, Admitted)
}

// Guards against a request that is told to come back although it can never be admitted.
func TestRequestAboveTheBurst(t *testing.T) {
	is := is.New(t)
	c := newClient(3)
	d := c.Take(epoch, "a", limit, 101, 0)
	is.Equal(d.Outcome, Refused)
	is.Equal(d.Reason, ReasonTooLarge)
	is.Equal(d.RetryAfter, time.Duration(0))

	// Where debt is allowed, half a burst admits it and the rest is paid back.
	debt := Limit{Rate: 100, Burst: 100, Debt: true}
	p := c.Take(epoch, "b", debt, 300, 0)
	is.Equal(p.Outcome, Pending)
	out := draw(is, c, epoch)
	is.Equal(out.Draw.Wants[0].Least, 50.0)
	resolved := c.Answered(after(0.01), out, granting(1, Grant{Key: "b", Tokens: 50}))
	is.Equal(resolved[0].Decision.Outcome, Admitted)
	is.Equal(c.Take(after(0.01), "b", debt, 1, 0).Outcome, Pending) // not before the debt is paid back
	is.Equal(draw(is, c, after(0.02)).Draw.Wants[0].Charged, 250.0)
}

// Guards against requests that are admitted without an allocator before the routers
// are known.
func TestNothingIsAdmittedBeforeTheRoutersAreKnown(t *testing.T) {
	is := is.New(t)
	c := NewClient(Settings{}, "vm-0", 1, func() float64 { return 0 })
	is.Equal(c.Take(epoch, "a", limit, 1, 0).Reason, ReasonNoAllocator)
	is.Equal(len(c.Draws(epoch)), 0)
}

// Guards against waits that are longer than allowed, small requests that overtake one
// that waits, and pending requests that are forgotten.
func TestPendingRequestsKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	c := newAsking()
	large := c.Take(epoch, "a", limit, 50, 0)
	is.Equal(large.Deadline, epoch.Add(MaxWait))
	out := draw(is, c, epoch)
	small := c.Take(after(0.01), "a", limit, 1, 20*time.Millisecond)
	is.Equal(small.Deadline, after(0.03))
	is.Equal(len(c.Draws(after(0.01))), 0) // one message is in flight
	is.Equal(len(c.Answered(after(0.02), out, granting(1, Grant{Key: "a", Tokens: 49, Wait: time.Millisecond}))), 0)
	out = draw(is, c, after(0.06))
	resolved := c.Answered(after(0.07), out, granting(2, Grant{Key: "a", Tokens: 2}))
	is.Equal(len(resolved), 2)
	is.Equal(resolved[0].Request, large.Request)
	is.Equal(resolved[1].Request, small.Request)
	is.Equal(resolved[1].Decision.Outcome, Admitted)

	p := c.Take(after(0.1), "a", limit, 50, 0)
	deadline := after(0.1).Add(MaxWait)
	is.Equal(len(c.Expire(deadline.Add(-time.Millisecond))), 0)
	resolved = c.Expire(deadline)
	is.Equal(resolved[0].Request, p.Request)
	is.Equal(resolved[0].Decision.Reason, ReasonOver)
	p = c.Take(after(0.4), "a", limit, 50, 0)
	c.Cancel(after(0.41), "a", p.Request)
	is.Equal(len(c.Expire(after(1))), 0)
}

// Guards against requests that wait although the allocator told that there are no
// tokens, and clients that are told to return together.
func TestRequestsAreRefusedAtOnceWhileOverTheLimit(t *testing.T) {
	is := is.New(t)
	c := newAsking()
	c.Take(epoch, "a", limit, 50, 0)
	out := draw(is, c, epoch)
	resolved := c.Answered(after(0.01), out, granting(1, Grant{Key: "a", Wait: time.Second, Backlog: 2 * time.Second}))
	is.Equal(resolved[0].Decision.RetryAfter, 3*time.Second*9/8)
	d := c.Take(after(0.26), "a", limit, 50, 0)
	is.Equal(d.Reason, ReasonOver)
	is.Equal(d.RetryAfter, 3250*time.Millisecond*9/8) // 0.75 s, the backlog, and the 50 refused tokens
	is.Equal(c.Take(after(0.26), "a", limit, 10, 0).Outcome, Pending)
	// After an interval the allocator is asked again: its share may have risen.
	is.Equal(c.Take(after(0.51), "a", limit, 50, 0).Outcome, Pending)
}

// Guards against tokens that are spent after their validity, which counts from the
// time at which the message was sent, and against answers that are used twice.
func TestGrantsExpire(t *testing.T) {
	is := is.New(t)
	c := newAsking()
	out := draw(is, c, epoch)
	valid := Settings{}.Validity()
	is.Equal(valid, 560*time.Millisecond)
	c.account(epoch, "a", limit)
	c.Answered(after(0.1), out, granting(1, Grant{Key: "a", Tokens: 10}))
	c.Answered(after(0.1), out, granting(1, Grant{Key: "a", Tokens: 10}))
	near(is, c.Available(epoch.Add(valid-time.Nanosecond), "a"), 10)
	is.Equal(c.Available(epoch.Add(valid), "a"), 0.0)

	c = newAsking()
	out = draw(is, c, epoch)
	c.account(epoch, "a", limit)
	c.Answered(epoch.Add(valid), out, granting(1, Grant{Key: "a", Tokens: 10}))
	is.Equal(c.Available(epoch.Add(valid), "a"), 0.0)
}

// Guards against refunds that are lost in time or spent when late.
func TestReturnedRequestGivesItsTokensBack(t *testing.T) {
	is := is.New(t)
	c := newAsking()
	p := c.Take(epoch, "a", limit, 50, 0)
	is.Equal(p.Outcome, Pending)
	out := draw(is, c, epoch)
	resolved := c.Answered(after(0.01), out, granting(1, Grant{Key: "a", Tokens: 50}))
	charge := resolved[0].Decision.Charge
	is.Equal(c.Available(after(0.3), "a"), 0.0)
	c.Return(after(0.3), charge)
	near(is, c.Available(after(0.3), "a"), 50)
	is.Equal(c.Take(after(0.3), "a", limit, 50, 0).Outcome, Admitted)
	c.Return(after(0.8), charge)
	is.Equal(c.Available(after(0.8), "a"), 0.0)
}

// Guards against a lowered limit that leaves the granted tokens of the old one.
func TestLoweredLimitClipsGrants(t *testing.T) {
	is := is.New(t)
	c := newAsking()
	out := draw(is, c, epoch)
	c.account(epoch, "a", limit)
	c.Answered(after(0.01), out, granting(1, Grant{Key: "a", Tokens: 80}))
	c.Take(after(0.02), "a", Limit{Rate: 10, Burst: 10}, 1, 0)
	near(is, c.Available(after(0.02), "a"), 9)
}

// Guards against a router that spends its own part while an allocator may count it, or
// with a burst that it saved before.
func TestOwnPartOnlyWhileNotBound(t *testing.T) {
	is := is.New(t)
	c := newClient(3)
	out := draw(is, c, epoch)
	is.Equal(out.Draw.Ticket, uint64(0))
	c.account(epoch, "a", limit)
	near(is, c.Available(after(0.05), "a"), 0.5) // 0.3 / 3 of the limit
	c.Answered(after(0.1), out, granting(5))
	out = draw(is, c, after(1))
	is.Equal(out.Draw.Ticket, uint64(5))
	is.Equal(c.Available(after(1), "a"), 0.0)
	free := after(0.1).Add(1515 * time.Millisecond)
	is.Equal(c.Available(free, "a"), 0.0)
	near(is, c.Available(free.Add(500*time.Millisecond), "a"), 5)
	near(is, c.Available(free.Add(time.Minute), "a"), 10)
	is.Equal(c.Take(free.Add(time.Minute), "a", limit, 10, 0).Outcome, Admitted)
	is.Equal(c.Available(free.Add(time.Minute), "a"), 0.0)
}

// Guards against a router that attaches to another allocator while the first may count
// it, and against one that waits longer than that.
func TestChangeOfTheAllocatorWaitsForTheBinding(t *testing.T) {
	is := is.New(t)
	c := newClient(3)
	out := draw(is, c, epoch)
	first := out.To
	c.Answered(after(0.001), out, granting(5))
	out = draw(is, c, after(0.5))
	is.Equal(out.Draw.Ticket, uint64(5)) // bound until 0.001 + 1.515
	second := "vm-1"
	if first == second {
		second = "vm-2"
	}
	c.Answered(after(0.501), out, Answer{Redirect: second})
	for _, s := range []float64{0.515, 1.1} {
		out = draw(is, c, after(s))
		is.Equal(out.To, second)
		is.Equal(out.Draw.Ticket, uint64(0))
		c.Answered(after(s), out, granting(9))
	}
	is.Equal(len(c.Draws(after(1.515))), 0)
	out = draw(is, c, after(1.516))
	is.Equal(out.Draw.Ticket, uint64(9))
}

// Guards against a fleet that follows an allocator without a majority although another
// one has it.
func TestRouterLeavesAnAllocatorWithoutMajority(t *testing.T) {
	is := is.New(t)
	c := newClient(5)
	asked := map[string]bool{}
	for i := range 12 {
		now := after(float64(i) * 0.5)
		out := draw(is, c, now)
		asked[out.To] = true
		if out.To == "vm-3" {
			c.Answered(now, out, granting(1))
			break
		}
		c.Answered(now, out, Answer{Ticket: uint64(i + 1), Incarnation: 7})
	}
	is.True(asked["vm-3"])
	is.Equal(c.States(epoch)[0].Allocator, "vm-3")
}

// Guards against a router that gives up its allocator for one lost message, or holds on
// to a dead one.
func TestFailedMessages(t *testing.T) {
	is := is.New(t)
	c := newClient(5)
	out := draw(is, c, epoch)
	first := out.To
	c.Answered(epoch, out, granting(1))
	out = draw(is, c, after(0.5))
	c.Answered(after(0.5), out, granting(2))
	out = draw(is, c, after(1))
	c.Failed(after(1.2), out)
	out = draw(is, c, after(1.4))
	is.Equal(out.To, first)
	c.Failed(after(1.6), out)
	out = draw(is, c, after(1.8))
	c.Failed(after(2), out)
	out = draw(is, c, after(2.01))
	is.True(out.To != first)
}

// Guards against debts that are lost with their message.
func TestDebtOfALostMessageIsReportedAgain(t *testing.T) {
	is := is.New(t)
	c := newAsking()
	c.Charge(epoch, "a", limit, 30)
	out := draw(is, c, epoch)
	is.Equal(out.Draw.Wants[0].Charged, 30.0)
	c.Failed(after(0.2), out)
	out = draw(is, c, after(1))
	is.Equal(out.Draw.Wants[0].Charged, 30.0)
	c.Answered(after(1.01), out, granting(1))
	is.Equal(len(draw(is, c, after(4)).Draw.Wants), 0)
}

// Guards against accounts that are kept for ever.
func TestIdleAccountsAreForgotten(t *testing.T) {
	is := is.New(t)
	c := newClient(1)
	for i := range 9500 {
		c.account(epoch, Key(string(rune('a'+i%26))+time.Duration(i).String()), limit)
	}
	is.Equal(len(c.accounts), 9500)
	c.Draws(after(11))
	is.Equal(len(c.accounts), 0)
}

// Guards against intervals, terms and groups that differ from the design.
func TestIntervalsAndGroups(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		n              int
		interval, term time.Duration
		groups         int
	}{
		{1, 500 * time.Millisecond, 1500 * time.Millisecond, 1},
		{300, 750 * time.Millisecond, 2250 * time.Millisecond, 1},
		{540, 1350 * time.Millisecond, 4050 * time.Millisecond, 2},
	} {
		is.Equal(Interval(c.n), c.interval)
		is.Equal(Term(c.n), c.term)
		is.Equal(Groups(c.n), c.groups)
	}
	is.Equal(GroupOf("a", 1), 0)
	first := Candidates(0, names(50))
	is.Equal(Candidates(0, names(49)), without(first, "vm-49")) // the others keep their order
	is.True(!slices.Equal(Candidates(1, names(50)), first))
}

func without(list []string, name string) []string {
	var kept []string
	for _, n := range list {
		if n != name {
			kept = append(kept, n)
		}
	}
	return kept
}

// Guards against requests that are refused although an allocator will be there soon, such as
// after the restart of the whole fleet, and against a router that is cut off and holds them.
func TestRequestsWaitForAnElection(t *testing.T) {
	const maxDelay = 900 * time.Millisecond
	for name, test := range map[string]struct {
		majority bool
		at, wait time.Duration
		outcome  Outcome
	}{
		"starting":        {false, 0, maxDelay, Pending},
		"with a majority": {true, 0, MaxWait, Pending},
		"cut off":         {false, electionTerms*Term(3) + time.Millisecond, 0, Refused},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newAsking()
			if test.majority {
				c.Answered(epoch, draw(is, c, epoch), granting(1))
			}
			d := c.Take(epoch.Add(test.at), "a", limit, 50, maxDelay)
			is.Equal(d.Outcome, test.outcome)
			if d.Outcome == Pending {
				is.Equal(d.Deadline, epoch.Add(test.at+test.wait))
			}
		})
	}
}
