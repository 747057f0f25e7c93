package portfake_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
	"mimosaseam.example/mimosaseam/internal/port/porttest"
)

func TestLogContract(t *testing.T) {
	porttest.RunLog(t, func(*testing.T) porttest.LogHarness {
		clock := portfake.NewClock(time.Unix(1_700_000_000, 0))
		l := portfake.NewLog(portfake.LogOptions{
			Clock:            clock,
			Retention:        porttest.LogRetention,
			AppendsPerSecond: porttest.LogAppendsPerSecond,
			AppendBurst:      porttest.LogAppendBurst,
		})
		return porttest.LogHarness{Log: l, SetFaults: l.SetFaults, Expire: l.Expire, Advance: clock.Advance}
	})
}

// Guards against waits that use real time inside a synctest bubble, and against an
// outage or a delay that does not affect a waiting call.
func TestLogWaitsOnFakeTime(t *testing.T) {
	var (
		unavailable *port.UnavailableError
		unknown     *port.UnknownOutcomeError
	)
	cases := map[string]struct {
		faults Faults
		run    func(ctx context.Context, l *portfake.Log) error
		target any
		took   time.Duration
	}{
		"poll ends":         {run: poll, took: time.Minute},
		"delayed poll ends": {faults: Faults{DelayMS: 2000}, run: poll, took: time.Minute + 2*time.Second},
		"outage ends poll":  {run: pollIntoOutage, target: &unavailable, took: time.Second},
		"caller gives up": {
			faults: Faults{DelayMS: 5000}, run: giveUp, target: &unknown, took: time.Second,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := portfake.NewLog(portfake.LogOptions{})
				l.SetFaults(c.faults)
				start := time.Now()
				err := c.run(t.Context(), l)
				is.Equal(time.Since(start), c.took)
				if c.target == nil {
					is.NoErr(err)
					return
				}
				is.True(errors.As(err, c.target))
			})
		})
	}
}

// Faults abbreviates portfake.Faults in the table.
type Faults = portfake.Faults

func poll(ctx context.Context, l *portfake.Log) error {
	_, err := l.Read(ctx, "s", 1, 1, time.Minute)
	return err
}

func pollIntoOutage(ctx context.Context, l *portfake.Log) error {
	time.AfterFunc(time.Second, func() { l.SetFaults(Faults{Outage: true}) })
	return poll(ctx, l)
}

func giveUp(ctx context.Context, l *portfake.Log) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := l.Append(ctx, "s", []port.Record{{ID: "a"}})
	return err
}
