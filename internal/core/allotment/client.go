package allotment

import "time"

// MaxWait is the longest time for which a request waits for tokens.
const MaxWait = 100 * time.Millisecond

// Client spends the tokens of one router and asks the allocators for more.
type Client struct {
	settings    Settings
	self        string
	incarnation uint64
}

// NewClient returns the client of the router with the given name. The incarnation
// identifies the process; a restarted process must use another one. random returns
// values in [0, 1) for the jitter of RetryAfter.
func NewClient(settings Settings, self string, incarnation uint64, random func() float64) *Client {
	return &Client{settings: settings, self: self, incarnation: incarnation}
}

// SetRouters sets the routers that share the limits, including this one: all of them,
// and those that the membership view considers alive. mayAttach is false for
// AttachDelay after the start if the entry of this router is new, and for StartDelay
// if it existed before; until then the router neither attaches nor spends on its own.
// Until the first call, every request is refused.
func (c *Client) SetRouters(now time.Time, all, alive []string, mayAttach bool) {}

// Take charges the tokens of a request. The request waits at most for maxWait, or for
// MaxWait if that is shorter or maxWait is 0. Requests without a limit are admitted.
func (c *Client) Take(now time.Time, key Key, limit Limit, tokens float64, maxWait time.Duration) Decision {
	return Decision{Outcome: Admitted, Charge: Charge{Key: key, Tokens: tokens}}
}

// Cancel removes a pending request whose client has gone.
func (c *Client) Cancel(now time.Time, key Key, request uint64) {}

// Return gives back the tokens of an admitted request that did not run. Tokens that
// were granted too long ago are lost.
func (c *Client) Return(now time.Time, charge Charge) {}

// Charge charges a cost that became known only after the admission. It may go into
// debt, which is paid back before new admissions.
func (c *Client) Charge(now time.Time, key Key, limit Limit, tokens float64) {}

// Draws returns the messages that are due. The caller sends them at once; at most one
// message per account group is in flight.
func (c *Client) Draws(now time.Time) []OutgoingDraw { return nil }

// NextDraw returns when Draws has to be called next if nothing else happens. After
// Take returned Pending, and after Answered and Failed, Draws has to be called at once.
func (c *Client) NextDraw(now time.Time) time.Time { return now.Add(minInterval) }

// Answered records the answer to a message and returns the pending requests that it
// decides, in the order in which they arrived.
func (c *Client) Answered(now time.Time, sent OutgoingDraw, answer Answer) []Resolved { return nil }

// Failed records that a message has no answer.
func (c *Client) Failed(now time.Time, sent OutgoingDraw) []Resolved { return nil }

// Expire refuses the pending requests whose deadline has passed.
func (c *Client) Expire(now time.Time) []Resolved { return nil }

// State is the state of this router in one account group, for metrics and logs.
type State struct {
	Group int
	// Allocator is the router to which the messages go, and Bound reports whether this
	// router is attached to it.
	Allocator string
	Bound     bool
	// Majority reports whether the allocator had a majority in its last answer.
	Majority bool
}

// States returns the state in each account group.
func (c *Client) States(now time.Time) []State { return nil }

// Available returns the tokens of the key that can be spent now, for explain.
func (c *Client) Available(now time.Time, key Key) float64 { return 0 }
