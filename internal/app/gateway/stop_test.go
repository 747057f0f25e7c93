package gateway

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/shutdown"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against a stopping router that begins requests for which there is no time, or
// refuses those that may have run or that have time.
func TestStopBeginsOnlyWhatItCanEnd(t *testing.T) {
	const finalAnswers = 3 * time.Second
	refused := reply{err: &port.NotRunError{Reason: port.NotRunOverloaded}}
	cases := map[string]struct {
		route    string
		expected time.Duration
		into     time.Duration // time since the signal
		replies  []reply
		sends    int
		served   bool
	}{
		"enough time":                              {"book", time.Second, time.Second, nil, 1, true},
		"too little time":                          {"book", 2 * time.Second, 1500 * time.Millisecond, nil, 0, false},
		"too little time, stream":                  {"brief", 2 * time.Second, 1500 * time.Millisecond, []reply{{status: 200, body: "id: 1\ndata: x\n\n"}}, 0, false},
		"unknown duration, at once":                {"book", 0, 0, nil, 1, true},
		"unknown duration, later":                  {"book", 0, 1600 * time.Millisecond, nil, 0, false},
		"refused by a target, then there is time":  {"look", time.Second, time.Second, []reply{refused}, 2, true},
		"failed, may have run, then no time":       {"look", time.Second, 2 * time.Second, []reply{{status: http.StatusInternalServerError}}, 2, true},
		"after the final answers, not sent at all": {"book", time.Millisecond, finalAnswers, nil, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t, c.replies...)
				for range 30 {
					if now := time.Now(); c.expected > 0 {
						w.durations.End(w.durations.Start(c.route, now), now.Add(c.expected), true)
					}
				}
				w.BeginStop(shutdown.NewSchedule(time.Now(), shutdown.Timing{Predicted: finalAnswers, Connections: finalAnswers, Arrivals: finalAnswers,
					FinalAnswers: finalAnswers, End: finalAnswers}))
				ready, _ := w.Ready()
				is.True(!ready)
				time.Sleep(c.into)
				out, err := w.send(t.Context(), c.route)
				is.Equal(len(w.targets.sent()), c.sends)
				if c.served {
					is.NoErr(err)
					is.Equal(out.status, http.StatusOK)
					return
				}
				var f *Failure
				is.True(errors.As(err, &f))
				is.Equal(f.Kind, KindRefused)
				is.True(f.RetryAfter > 0)
				is.True(errors.Is(err, ErrStopping))
			})
		})
	}
}
