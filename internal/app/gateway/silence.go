package gateway

import "time"

// targetExchange tells whether a target answers this router's requests.
type targetExchange struct {
	// receivedAt is when the last bytes were received.
	receivedAt time.Time
	// unansweredSince is when the first request was sent after them, zero if there is none.
	unansweredSince time.Time
}

func (e *targetExchange) sent(now time.Time) {
	if e.unansweredSince.IsZero() {
		e.unansweredSince = now
	}
}

func (e *targetExchange) received(now time.Time) { e.receivedAt, e.unansweredSince = now, time.Time{} }

// settled records that no request awaits a response.
func (e *targetExchange) settled() { e.unansweredSince = time.Time{} }

// IsSilent reports whether the target has sent nothing for a time for which it owed this router
// a response.
func (d *Directory) IsSilent(id string, atLeast time.Duration) (silent bool) {
	now := d.clock.Now()
	d.update(id, func(t *Target) {
		since := t.exchange.unansweredSince
		if since.IsZero() && t.InFlight > 0 {
			since = t.exchange.receivedAt
		}
		silent = !since.IsZero() && now.Sub(since) >= atLeast
	})
	return silent
}
