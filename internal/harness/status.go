package harness

import (
	"context"
	"time"
)

// RouterStatus is what the harness reads of a router's status.
type RouterStatus struct {
	ConfigOffset uint64 `json:"config_offset"`
	Targets      []struct {
		Pool    string `json:"pool"`
		Name    string `json:"name"`
		Leaving bool   `json:"leaving"`
	} `json:"targets"`
}

// Status reads a router's status.
func (r *Router) Status(ctx context.Context) (RouterStatus, error) {
	var s RouterStatus
	err := GetJSON(ctx, r.AdminURL+"/v1/status", &s)
	return s, err
}

// watchEvery is the time between two readings of a router's status.
const watchEvery = 50 * time.Millisecond

// Watch reads the router's status again and again until the context ends.
func (r *Router) Watch(ctx context.Context, see func(RouterStatus)) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if s, err := r.Status(ctx); err == nil {
				see(s)
			}
		}
	}
}
