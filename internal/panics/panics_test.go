package panics

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

var errEnd = eris.New("end")

// Guards against a panic that ends the process, that is not counted, or whose log line
// lacks what is needed to find its cause.
func TestCatch(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&out, nil))
	before := Count()
	func() {
		defer Catch(log, "a request", "request", "r1")
		panic("unexpected")
	}()
	is.Equal(Count(), before+1)
	for _, want := range []string{`"in":"a request"`, `"value":"unexpected"`, `"request":"r1"`, "panics.TestCatch"} {
		is.True(strings.Contains(out.String(), want))
	}
	func() { defer Catch(log, "a request") }()
	is.Equal(Count(), before+1)
}

// Guards against a loop that ends for good with its first panic, and against one that does
// not end with its context or its own error.
func TestLoopIsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := slog.New(slog.DiscardHandler)
		runs := 0
		err := Loop(log, "loop", func(context.Context) error {
			if runs++; runs < 3 {
				panic("unexpected")
			}
			return errEnd
		})(t.Context())
		is.Equal(err, errEnd)
		is.Equal(runs, 3)
		ctx, cancel := context.WithCancel(t.Context())
		err = Loop(log, "loop", func(context.Context) error {
			cancel()
			panic("unexpected")
		})(ctx)
		is.Equal(err, context.Canceled)
	})
}
