package harness

import (
	"context"
	"time"
)

// RouterStatus is the part of a router's status that the harness decodes.
type RouterStatus struct {
	ConfigOffset uint64 `json:"config_offset"`
	Targets      []struct {
		Pool    string `json:"pool"`
		Name    string `json:"name"`
		Leaving bool   `json:"leaving"`
	} `json:"targets"`
}

// Status fetches the router's status.
func (r *Router) Status(ctx context.Context) (RouterStatus, error) {
	var s RouterStatus
	err := GetJSON(ctx, r.AdminURL+"/v1/status", &s)
	return s, err
}

const statusPollInterval = 50 * time.Millisecond

// Watch polls the router's status until the context ends and passes each successful
// response to onStatus.
func (r *Router) Watch(ctx context.Context, onStatus func(RouterStatus)) {
	ticker := time.NewTicker(statusPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if s, err := r.Status(ctx); err == nil {
				onStatus(s)
			}
		}
	}
}
