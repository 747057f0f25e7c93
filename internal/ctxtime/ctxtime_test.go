package ctxtime

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a wait that outlives its context, or that does not report that the
// context ended.
func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		start := time.Now()
		is.NoErr(Sleep(ctx, 0))
		is.NoErr(Sleep(ctx, 2*time.Second))
		is.Equal(Sleep(ctx, time.Minute), context.DeadlineExceeded)
		is.Equal(time.Since(start), 5*time.Second)
		is.Equal(Sleep(ctx, 0), context.DeadlineExceeded)
	})
}
