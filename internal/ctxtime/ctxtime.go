// Package ctxtime provides waits that end with a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for the duration. It returns the context's error if the context ends
// first.
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
