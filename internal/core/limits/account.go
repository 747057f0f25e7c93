package limits

import (
	"math"
	"time"
)

// demandWindow is the time constant of the exponential decay of an account's demand.
const demandWindow = 5 * time.Second

// account tracks the running requests and demand of one client account on this router.
type account struct {
	running     int
	demand      float64
	lastRequest time.Time
}

// recordArrival adds a request to the account's demand.
func (a *account) recordArrival(now time.Time) {
	a.demand = a.demandAt(now) + 1/demandWindow.Seconds()
	a.lastRequest = now
}

// demandAt returns the account's demand in requests per second.
func (a *account) demandAt(now time.Time) float64 {
	elapsed := now.Sub(a.lastRequest)
	if a.lastRequest.IsZero() || elapsed < 0 {
		return a.demand
	}
	return a.demand * math.Exp(-elapsed.Seconds()/demandWindow.Seconds())
}
