// Package ctxtime waits for durations under a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for the duration, or until the context ends; then it returns the
// context's error.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
