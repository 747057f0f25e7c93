package allotment

import "time"

// Allocators are the allocators of all account groups on one router.
type Allocators struct {
	client *Client
}

// NewAllocators returns the allocators of the router of the client.
func NewAllocators(client *Client) *Allocators { return &Allocators{client: client} }

// Handle answers a Draw. limits returns the limit of a key in the configuration of
// this router, and false if the key is unknown.
func (a *Allocators) Handle(now time.Time, d Draw, limits func(Key) (Limit, bool)) Answer {
	var answer Answer
	for _, w := range d.Wants {
		answer.Grants = append(answer.Grants, Grant{Key: w.Key, Tokens: w.Tokens})
	}
	return answer
}

// SetRouters sets the names of all routers that share the limits, including those that
// are out of contact. Until the first call, nothing is granted.
func (a *Allocators) SetRouters(now time.Time, names []string) {}

// Attached returns the largest number of routers attached to one of the allocators.
func (a *Allocators) Attached(now time.Time) int { return 0 }
