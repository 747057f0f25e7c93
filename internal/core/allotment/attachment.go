package allotment

import (
	"slices"
	"time"
)

const (
	// giveUpPart is the part of a term without an answer after which a router asks the
	// next candidate. The attachment ends after a whole term, so the next allocator's
	// ticket is at hand by then.
	giveUpPart = 0.5
	// retryPart is the part of the interval after which a failed message is repeated.
	retryPart = 0.25
	// avoidTerms is the time, in terms, for which an allocator that did not answer is
	// not asked again.
	avoidTerms = 2
	// probeMessages is the number of regular messages to an allocator without a majority
	// after which one goes to another router, which may know an allocator with one.
	probeMessages = 3
)

// binding is the commitment of a router to be counted by one allocator only.
type binding struct {
	to    string
	of    uint64
	until time.Time
}

// ticket is the last ticket of an allocator.
type ticket struct {
	from  string
	of    uint64
	value uint64
	// received is when the answer with the ticket arrived, which is after the allocator
	// read its clock for it.
	received time.Time
}

// Attachment is the relation of this router to the allocators of one account group.
type Attachment struct {
	group int
	// target is the allocator to which messages go, and majority is from its last
	// answer, which arrived at answered. Before the first answer, answered is the start.
	target   string
	majority bool
	// majorityAt is when an allocator with a majority answered last, or the start.
	majorityAt time.Time
	answered   time.Time
	// followed is set while the target is one that another router named and that has not
	// answered yet.
	followed bool
	// failing is the time of the first failure since the last answer, or zero.
	failing time.Time
	// avoid holds until when a router is not asked.
	avoid map[string]time.Time
	// messages counts regular messages for the probes of other routers.
	messages int

	ticket ticket
	bound  binding
	// bindings counts the bindings, so that accounts notice that tokens that they accrued
	// before are void.
	bindings int

	// next is when the next regular message is due, and sent is when the last one of any
	// kind was sent. urgent asks for a message at once.
	next   time.Time
	sent   time.Time
	urgent bool
	flight *OutgoingDraw

	// active are the accounts that have something to ask or report, and queued those with
	// pending requests.
	active, queued map[Key]*account
	// wake is a time before which neither a wait nor a grant of these ends, or zero.
	wake time.Time
}

func newAttachment(group int, now time.Time) *Attachment {
	return &Attachment{group: group, avoid: map[string]time.Time{}, next: now, active: map[Key]*account{}, queued: map[Key]*account{}, answered: now, majorityAt: now}
}

// choose returns the router to ask. It stays with an allocator that has a majority
// while that answers, because a change costs the tokens of about a term. Otherwise it
// is the first candidate that is alive and has answered lately.
func (a *Attachment) choose(now time.Time, alive []string) string {
	if a.target != "" && (a.majority || a.followed) && slices.Contains(alive, a.target) && !a.avoided(now, a.target) {
		return a.target
	}
	candidates := Candidates(a.group, alive)
	best := ""
	for _, c := range candidates {
		if !a.avoided(now, c) {
			return c
		}
		if best == "" || a.avoid[c].Before(a.avoid[best]) {
			best = c
		}
	}
	return best
}

func (a *Attachment) avoided(now time.Time, name string) bool {
	until, ok := a.avoid[name]
	if ok && !until.After(now) {
		delete(a.avoid, name)
		return false
	}
	return ok
}

// retarget sends the messages to another router from now on.
func (a *Attachment) retarget(to string) {
	if to == a.target {
		return
	}
	a.target, a.majority, a.followed, a.failing, a.messages = to, false, false, time.Time{}, 0
	a.urgent = true
}

// probe returns another router to ask instead of an allocator without a majority, or "".
func (a *Attachment) probe(now time.Time, alive []string) string {
	if a.majority || a.messages%probeMessages != probeMessages-1 {
		return ""
	}
	candidates := Candidates(a.group, alive)
	for i := range candidates {
		c := candidates[(a.messages/probeMessages+i)%len(candidates)]
		if c != a.target && !a.avoided(now, c) {
			return c
		}
	}
	return ""
}

// bind adds the ticket to a message to the router if that attaches this router, and
// commits to it before the message is sent.
func (a *Attachment) bind(now time.Time, d *Draw, to string, term time.Duration) {
	until := a.ticket.received.Add(withMargin(term))
	same := a.bound.to == to && a.bound.of == a.ticket.of
	if a.ticket.from != to || !until.After(now) || a.isBound(now) && !same {
		return
	}
	if !a.isBound(now) {
		a.bindings++
	}
	if !same || until.After(a.bound.until) {
		a.bound = binding{to: to, of: a.ticket.of, until: until}
	}
	d.Ticket, d.TicketOf, d.Term = a.ticket.value, a.ticket.of, term
}

// wakeAt asks for a message at the given time, if it is still needed then.
func (a *Attachment) wakeAt(t time.Time) {
	if a.wake.IsZero() || t.Before(a.wake) {
		a.wake = t
	}
}

// isBound reports whether an allocator may count this router.
func (a *Attachment) isBound(now time.Time) bool { return now.Before(a.bound.until) }

// received records an answer of the target or of a probed router.
func (a *Attachment) received(now time.Time, from string, answer Answer) {
	delete(a.avoid, from)
	if answer.Redirect != "" {
		switch {
		case !a.avoided(now, answer.Redirect):
			// Routers that name each other are asked at the pace of regular messages.
			urgent := a.urgent || !a.followed
			a.retarget(answer.Redirect)
			a.followed, a.urgent = true, urgent
		case from == a.target:
			// The allocator of that router does not answer this one.
			a.avoid[from] = a.avoid[answer.Redirect]
		}
		return
	}
	if answer.Ticket == 0 {
		return
	}
	if from != a.target {
		if !answer.Majority {
			return
		}
		a.retarget(from)
	}
	a.majority, a.followed, a.answered, a.failing = answer.Majority, false, now, time.Time{}
	if answer.Majority {
		a.majorityAt = now
	}
	a.ticket = ticket{from: from, of: answer.Incarnation, value: answer.Ticket, received: now}
	if a.isBound(now) && (a.bound.to != from || a.bound.of != answer.Incarnation) {
		// Attach as soon as the binding to the former allocator ends.
		a.next = minTime(a.next, a.bound.until)
	}
}

// failed records that a router did not answer.
func (a *Attachment) failed(now time.Time, to string, term, interval time.Duration) {
	a.urgent = false
	if to != a.target {
		a.avoid[to] = now.Add(avoidTerms * term)
		return
	}
	if a.failing.IsZero() {
		a.failing = now
	}
	if a.isBound(now) && a.bound.to == to && now.Sub(a.failing) < time.Duration(giveUpPart*float64(term)) {
		a.next = minTime(a.next, now.Add(time.Duration(retryPart*float64(interval))))
		return
	}
	a.avoid[to] = now.Add(avoidTerms * term)
	a.target, a.majority, a.followed, a.failing = "", false, false, time.Time{}
	a.next = now
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
