// Package shutdown decides which requests a router still begins during a planned stop.
package shutdown

import "time"

// Schedule is the timetable of a planned stop. Its times are fixed when the stop begins:
// what is refused does not depend on how soon the steps of the stop are carried out.
type Schedule struct {
	// Signal is when the stop began.
	Signal time.Time
	// PredictedUntil is the last arrival of requests that begin because they are expected
	// to end in time. It leaves a margin for a signal that is noticed late.
	PredictedUntil time.Time
	// ConnectionsUntil is when the load balancer no longer sends new connections.
	ConnectionsUntil time.Time
	// ArrivalsUntil is the last time at which the first byte of a request may arrive.
	ArrivalsUntil time.Time
	// FinalAnswers is when the requests that are still open get their final answer.
	FinalAnswers time.Time
	// End is when the process exits.
	End time.Time
}

// Timing holds the times of a Schedule as durations since the signal.
type Timing struct {
	Predicted, Connections, Arrivals, FinalAnswers, End time.Duration
}

// NewSchedule returns the schedule of a stop that was signalled at a time. No step comes
// after a later one, however short the stop is.
func NewSchedule(signal time.Time, t Timing) Schedule {
	final := min(t.FinalAnswers, t.End)
	arrivals := min(t.Arrivals, final)
	connections := min(t.Connections, arrivals)
	return Schedule{Signal: signal, PredictedUntil: signal.Add(min(t.Predicted, connections)), ConnectionsUntil: signal.Add(connections), ArrivalsUntil: signal.Add(arrivals),
		FinalAnswers: signal.Add(final), End: signal.Add(t.End)}
}

// unknownDuration is the assumed duration of requests whose route has too few samples, at
// most half of the time until the final answers.
const unknownDuration = 3 * time.Second

// Request is what is known of a request that has not begun to run.
type Request struct {
	// Arrived is when its first byte arrived; zero: before the stop.
	Arrived time.Time
	// Deadline is when it gets an answer in any case.
	Deadline time.Time
	// Duration is how long it is expected to run; 0: unknown.
	Duration time.Duration
}

// Admits reports whether the request may begin to run now: its deadline passes before the
// final answers, or it is expected to have ended by then. Of late arrivals only the
// deadline counts, because an expectation may fail.
func (s Schedule) Admits(now time.Time, r Request) bool {
	switch {
	case !now.Before(s.FinalAnswers) || r.Arrived.After(s.ArrivalsUntil):
		return false
	case !r.Deadline.After(s.FinalAnswers):
		return true
	case r.Arrived.After(s.PredictedUntil):
		return false
	}
	expected := r.Duration
	if expected <= 0 {
		expected = min(unknownDuration, s.FinalAnswers.Sub(s.Signal)/2)
	}
	return !now.Add(expected).After(s.FinalAnswers)
}
