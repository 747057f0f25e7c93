// Package panics keeps an unexpected error of one request or background loop from ending
// the process, and with it all others.
package panics

import (
	"context"
	"expvar"
	"log/slog"
	"runtime/debug"
	"time"

	"mimosaseam.example/mimosaseam/internal/ctxtime"
)

// caught counts the panics since the start of the process; it is served with the metrics.
var caught = expvar.NewInt("panics")

// Count returns the number of panics since the start of the process.
func Count() int64 { return caught.Value() }

// restartPause bounds the log lines of a loop that panics again at once.
const restartPause = time.Second

// Log counts and logs a recovered value with the stack of the panic. It must be called by
// the deferred function that recovered it.
func Log(log *slog.Logger, what string, value any, attrs ...any) {
	caught.Add(1)
	log.Error("panic", append([]any{"in", what, "value", value, "stack", string(debug.Stack())}, attrs...)...)
}

// Catch ends a panic of the goroutine. It must be deferred directly.
func Catch(log *slog.Logger, what string, attrs ...any) {
	if value := recover(); value != nil {
		Log(log, what, value, attrs...)
	}
}

// Loop returns a function that calls run, and calls it again after a panic, until the
// context ends or run returns.
func Loop(log *slog.Logger, what string, run func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			err, returned := once(ctx, log, what, run)
			if returned {
				return err
			}
			if err := ctxtime.Sleep(ctx, restartPause); err != nil {
				return err
			}
		}
	}
}

// once reports whether run returned instead of panicking.
func once(ctx context.Context, log *slog.Logger, what string, run func(context.Context) error) (err error, returned bool) {
	defer Catch(log, what)
	return run(ctx), true
}
