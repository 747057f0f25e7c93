package allotment

import "time"

// Draw is the message of a router to the allocator of an account group.
type Draw struct {
	// Router is the name of the sender, and Incarnation identifies its process.
	Router      string
	Incarnation uint64
	// Group is the account group, out of Groups. Routers with another number of groups
	// have other allocators.
	Group, Groups int
	// Ticket is the ticket of an answer of this allocator, or 0. It attaches the sender
	// until the time of the ticket plus Term.
	Ticket uint64
	// TicketOf is the incarnation of the allocator that issued the ticket.
	TicketOf uint64
	// Term is the time from the ticket for which the sender is bound.
	Term time.Duration
	// Routers is N as the sender counts it.
	Routers int
	// MayAttach is false if the sender started too recently to attach.
	MayAttach bool
	Wants     []Want
}

// Want is what a Draw asks for one allotment, and what it gives back.
type Want struct {
	Key Key
	// Tokens are needed for waiting requests and for requests that will come almost
	// surely before the next message.
	Tokens float64
	// Least is the cost of the first waiting request, or 0. Fewer tokens are useless.
	Least float64
	// Unit is the usual cost of a request. More than Least is granted in multiples of it,
	// because the rest would be useless.
	Unit float64
	// Ahead are tokens for requests that may come. They are granted only while there
	// are plenty.
	Ahead float64
	// Returned and Spent are the unspent and the spent tokens of grants whose answer had
	// the ticket GrantTicket, of this incarnation of the allocator. A message has more
	// than one Want for a key if it settles grants of several answers.
	Returned, Spent float64
	GrantTicket     uint64
	// Charged are tokens that were spent without a grant: costs that became known only
	// after the admission. They may put the bucket into debt.
	Charged float64
	// Refused is the cost of requests refused since the last message, whose clients
	// are expected to return.
	Refused float64
	// Limit is the limit as the sender knows it. The lower one of it and of the
	// allocator's own applies, so that a lowered limit binds as soon as either knows it
	// and a raised one as soon as both do. An account that the allocator does not know
	// has the limit of the sender.
	Limit Limit
}

// Answer is the response to a Draw.
type Answer struct {
	// Ticket is the clock reading of the allocator, and Incarnation identifies its
	// process.
	Ticket      uint64
	Incarnation uint64
	// Majority reports whether more than half of the routers are attached.
	Majority bool
	// Redirect names another allocator, to which the answering router is attached; the
	// other fields are then empty.
	Redirect string
	Grants   []Grant
}

// Grant is the part of an Answer for one allotment.
type Grant struct {
	Key    Key
	Tokens float64
	// Wait is the time until there are tokens for the first request of the rest of the
	// want; 0 if nothing is left.
	Wait time.Duration
	// Backlog is the time that the tokens of the refused requests take that were told to
	// come back. It is part of RetryAfter.
	Backlog time.Duration
}

// OutgoingDraw is a Draw that is due. The caller sends it and passes the same value to
// Client.Answered or Client.Failed.
type OutgoingDraw struct {
	// To is the name of the router to send it to. If it is the sender, the caller passes
	// the message to its own Allocators.
	To   string
	Draw Draw
	// SentAt is the time from which the validity of the grants counts.
	SentAt time.Time
	// ID identifies the message on this router.
	ID uint64
}

// MessageTimeout is the time after which a message without an answer has failed. The answer
// of a VM whose processor is busy, as after a restart of the whole fleet, still renews the
// attachment when its grants have expired.
const MessageTimeout = 800 * time.Millisecond

// Outcome is the result of Client.Take.
type Outcome int

// Outcomes.
const (
	// Admitted means that the tokens were charged.
	Admitted Outcome = iota
	// Pending means that the request waits for tokens until Decision.Deadline.
	Pending
	// Refused means that nothing was charged.
	Refused
)

// Reason tells why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonOver means that the allotment is used up; RetryAfter tells when there are
	// tokens.
	ReasonOver Reason = "over_allotment"
	// ReasonTooLarge means that the request costs more than the burst and can never be
	// admitted; RetryAfter is 0.
	ReasonTooLarge Reason = "over_burst"
	// ReasonNoAllocator means that this router has no contact to an allocator and its
	// own part of the limit does not cover the request.
	ReasonNoAllocator Reason = "no_allocator"
)

// Decision is the result for one request.
type Decision struct {
	Outcome Outcome
	// Reason and RetryAfter are set for refused requests. RetryAfter includes jitter.
	Reason     Reason
	RetryAfter time.Duration
	// Charge is set for admitted requests; it is passed to Client.Return if the request
	// did not run.
	Charge Charge
	// Request identifies a pending request in Resolved and in Client.Cancel.
	Request uint64
	// Deadline is the time at which a pending request is refused by Client.Expire.
	Deadline time.Time
}

// Charge records where the tokens of an admitted request came from.
type Charge struct {
	Key    Key
	Tokens float64
	// granted is the part that came from grants; the rest came from this router's own part
	// of the limit. from, of and ticket identify the oldest of the grants, and until is
	// when that can no longer be returned.
	granted float64
	from    string
	of      uint64
	ticket  uint64
	until   time.Time
}

// Resolved is a pending request that was admitted or refused.
type Resolved struct {
	Request  uint64
	Decision Decision
}
