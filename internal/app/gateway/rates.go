package gateway

import (
	"errors"
	"net/http"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/port"
)

// observeRate records the rate that the target named in its response to a request sent at
// the time. Only a response that is no failure shows that it names none any more.
func (x *exchange) observeRate(t Target, sent time.Time, perSecond float64, status int) {
	if perSecond <= 0 && status >= http.StatusInternalServerError {
		return
	}
	g, now := x.g, x.g.Clock.Now()
	change := g.rates.Observe(now, sent, string(t.Incarnation()), perSecond)
	g.applyRateChange(change, port.TargetRate{Target: t.Incarnation(), PerSecond: perSecond}, "response")
}

// observeRefusal records what the target said of itself with a refusal. Another target at
// its address says nothing of it.
func (x *exchange) observeRefusal(t Target, sent time.Time, err error) {
	var refused *port.NotRunError
	var unmarked *port.UnmarkedRefusalError
	perSecond, statement := 0.0, port.TargetStatement{}
	switch {
	case errors.As(err, &unmarked):
		perSecond, statement = unmarked.RequestsPerSecond, unmarked.Statement
	case errors.As(err, &refused) && refused.Reason != port.NotRunIncarnationChanged:
		perSecond, statement = refused.RequestsPerSecond, refused.Statement
	default:
		return
	}
	if perSecond > 0 {
		x.observeRate(t, sent, perSecond, http.StatusServiceUnavailable)
	}
	x.g.Directory.observeStatement(t.ID, t.Incarnation(), x.r.ID, statement)
}

// ObserveRate records the rate of a target that a peer announced.
func (g *Gateway) ObserveRate(r port.TargetRate) {
	g.applyRateChange(g.rates.ObservePeer(g.Clock.Now(), string(r.Target), r.PerSecond, r.Age), r, "router")
}

func (g *Gateway) applyRateChange(change limits.RateChange, r port.TargetRate, source string) {
	if change.Changed {
		g.Log.Info("target limit", "target", string(r.Target), "per_second", r.PerSecond, "source", source, "age_ms", ms(r.Age))
	}
	if change.Announce && g.AnnounceRate != nil {
		g.AnnounceRate(r)
	}
}
