package shutdown

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests unless a flag sets another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const second = time.Second

var timing = Timing{Predicted: 2 * second, Connections: 2500 * time.Millisecond, Arrivals: 2800 * time.Millisecond, FinalAnswers: 7 * second, End: 7300 * time.Millisecond}

// Guards against a stop that begins requests which it then cuts off.
func TestAdmits(t *testing.T) {
	signal := time.Unix(1000, 0)
	at := func(s float64) time.Time { return signal.Add(time.Duration(s * float64(second))) }
	cases := map[string]struct {
		now, arrived, deadline float64
		expected               time.Duration
		want                   bool
	}{
		"arrived before the stop":                      {0.1, -5, 60, 4 * second, true},
		"arrived before the stop, queued too long":     {3.5, -1, 60, 4 * second, false},
		"body complete late, short":                    {6, 1, 60, second / 2, true},
		"body complete late, unknown duration":         {4.5, 1, 60, 0, false},
		"unknown duration, early":                      {1, 1, 60, 0, true},
		"long stream, early":                           {1, 1, 60, 5 * second, true},
		"long stream, late":                            {1.9, 1.9, 60, 5200 * time.Millisecond, false},
		"short stream, arrives late":                   {2.1, 2.1, 60, second / 10, false},
		"long route, deadline within the stop":         {2.2, 2.2, 6.9, 9 * second, true},
		"last arrival, deadline within the stop":       {2.7, 2.7, 3.7, second / 10, true},
		"last arrival, deadline after the stop":        {2.7, 2.7, 17, second / 10, false},
		"arrived too late, deadline within the stop":   {2.9, 2.9, 3.1, second / 10, false},
		"after the final answers":                      {7, 1, 7, second / 10, false},
		"read late by a starved process":               {3.4, 3.4, 18, 2 * second, false},
		"arrived in time, begun late, deadline within": {6.5, 2.4, 6.9, 9 * second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewSchedule(signal, timing)
			is.New(t).Equal(s.Admits(at(c.now), Request{Arrived: at(c.arrived), Deadline: at(c.deadline), Duration: c.expected}), c.want)
		})
	}
}

// Guards against steps out of order when the stop may take less time than they do, and
// against a request that may run beyond the final answers.
func TestScheduleOfAnyLength(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 10_000).Draw(rt, name)) * time.Millisecond
		}
		signal := time.Unix(1000, 0)
		s := NewSchedule(signal, Timing{Predicted: d("predicted"), Connections: d("connections"), Arrivals: d("arrivals"), FinalAnswers: d("final"), End: d("end")})
		steps := []time.Time{signal, s.PredictedUntil, s.ConnectionsUntil, s.ArrivalsUntil, s.FinalAnswers, s.End}
		for i := range steps[1:] {
			if steps[i+1].Before(steps[i]) {
				rt.Fatalf("step %d at %v, the one before at %v", i+1, steps[i+1], steps[i])
			}
		}
		now := signal.Add(d("now"))
		r := Request{Arrived: signal.Add(d("arrived") - second), Deadline: now.Add(d("deadline")), Duration: d("duration")}
		end := r.Deadline
		if r.Duration > 0 && now.Add(r.Duration).Before(end) {
			end = now.Add(r.Duration)
		}
		if s.Admits(now, r) && (r.Arrived.After(s.ArrivalsUntil) || r.Duration > 0 && end.After(s.FinalAnswers)) {
			rt.Fatalf("admitted at %v until %v, final answers at %v", now, end, s.FinalAnswers)
		}
	})
}

// Guards against a short stop that turns away each request of unknown duration.
func TestUnknownDurationInAShortStop(t *testing.T) {
	is := is.New(t)
	signal := time.Unix(1000, 0)
	s := NewSchedule(signal, Timing{Predicted: 2 * second, Connections: 2 * second, Arrivals: 2 * second, FinalAnswers: 2 * second, End: 2 * second})
	r := Request{Arrived: signal, Deadline: signal.Add(60 * second)}
	is.True(s.Admits(signal.Add(second), r))
	is.True(!s.Admits(signal.Add(second+1), r))
}

// observe records requests of the route that ran for a time.
func (d *Durations) observe(route string, took time.Duration, success bool) {
	start := time.Unix(1000, 0)
	d.End(d.Start(route, start), start.Add(took), success)
}

// Guards against a prediction from too few, old, failed or unusual requests.
func TestExpectedDurations(t *testing.T) {
	is := is.New(t)
	d, now := NewDurations(), time.Unix(1000, 0)
	is.Equal(d.Expected("r", now), time.Duration(0))
	for i := range minDurationSamples {
		is.Equal(d.Expected("r", now), time.Duration(0))
		d.observe("r", time.Duration(i+1)*second, true)
		d.observe("r", time.Millisecond, false)
	}
	is.Equal(d.Expected("r", now), 18*second) // 9 of 10 took no longer
	is.Equal(d.Expected("other", now), time.Duration(0))
	for range durationSamples {
		d.observe("r", second, true)
	}
	is.Equal(d.Expected("r", now), second)
	for i := range 2 * maxRoutes {
		d.observe(string(rune(i)), second, true)
	}
	is.True(len(d.routes) <= maxRoutes)
}

// Guards against a young router that expects short requests because only those have ended.
func TestOpenRequestsCountInTheExpectation(t *testing.T) {
	is := is.New(t)
	d, start := NewDurations(), time.Unix(1000, 0)
	var open []*Running
	for range 80 {
		open = append(open, d.Start("r", start))
	}
	for range minDurationSamples {
		d.observe("r", second/10, true)
	}
	now := start.Add(4 * second)
	is.Equal(d.Expected("r", now), 4*second)
	for _, r := range open {
		d.End(r, now, false)
	}
	is.Equal(d.Expected("r", now), second/10)
}
