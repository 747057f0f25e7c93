package gateway

import (
	"context"
	"log/slog"
	"math"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/balance"
	"mimosaseam.example/mimosaseam/internal/core/workload"
	"mimosaseam.example/mimosaseam/internal/port"
)

// changeWork replaces the state of the target's work by a changed copy.
func (t *Target) changeWork(change func(w *workload.Target)) {
	next := &workload.Target{}
	if t.work != nil {
		*next = *t.work
	}
	change(next)
	t.work = next
}

// observePlainLoad records the load report of a plain target and returns the number of requests
// of other routers that it counts.
func (d *Directory) observePlainLoad(id string, r workload.Report) (others float64) {
	now := d.clock.Now()
	d.update(id, func(t *Target) {
		t.changeWork(func(w *workload.Target) { others = w.Observe(now, r, t.Slots) })
	})
	return others
}

// rankPlain orders the plain targets. It returns their order and the ranked candidates.
func (x *exchange) rankPlain(now time.Time, targets []Target) ([]int, []balance.Candidate) {
	cost := x.g.work.Cost(now, x.service, x.route.Name)
	candidates := make([]balance.Candidate, len(targets))
	unknown := workload.Target{}
	for i := range targets {
		t := &targets[i]
		work := t.work
		if work == nil {
			work = &unknown
		}
		candidates[i] = balance.Candidate{Index: i, Slots: t.Slots, Load: work.Load(now, cost, t.Slots),
			LinkMs: x.g.linkMs(t.AvailabilityZone), FailureCostMs: x.failureCostMs(now, t)}
	}
	balance.Rank(candidates)
	order := make([]int, len(candidates))
	for i := range candidates {
		order[i] = candidates[i].Index
	}
	return order, candidates
}

// beginWork prepares the record of an attempt on a plain target.
func (x *exchange) beginWork(now time.Time) {
	x.sent, x.eventsBegan = nil, time.Time{}
	if x.engine == nil {
		sent := x.plain.Load.Sent(now, x.plain.LinkMs)
		x.sent = &sent
	}
}

// observeLoad records the load that a target reported in a response.
func (x *exchange) observeLoad(t Target, load *port.LoadReport) {
	if load == nil {
		return
	}
	now := x.g.Clock.Now()
	report := workload.Report{Running: load.Running, Waiting: load.Waiting, SlownessPercent: load.SlownessPercent}
	if x.engine != nil {
		x.g.Placer.ObserveResponse(now, t.Address, report)
		return
	}
	x.g.work.Reported(now, x.service, report, x.g.Directory.observePlainLoad(t.ID, report))
}

// endWork records the end of an attempt, and learns from it. took is the time to the complete
// answer, 0 if there was none.
func (x *exchange) endWork(now time.Time, t Target, took time.Duration, rating targetRating) {
	if x.sent != nil {
		x.endPlainWork(now, t, took, rating == ratingGood)
	}
	if x.engine == nil || rating != ratingGood {
		return
	}
	if x.eventsBegan.IsZero() || x.attempts > 1 || x.score.SpeedFactor <= 0 {
		return // a continued stream has an unknown part of the tokens
	}
	if load, reports := x.g.Directory.slowness(t.ID); reports {
		x.g.work.Decoded(x.service, x.r.MaxOutputTokens, ms(now.Sub(x.eventsBegan))/x.score.SpeedFactor, load.Running)
	}
}

// endPlainWork records the end of a request's work on a plain target, once. An error tells
// nothing of the target's speed.
func (x *exchange) endPlainWork(now time.Time, t Target, took time.Duration, good bool) {
	sent := *x.sent
	x.sent = nil
	usualMs := 0.0
	expected := sent.Expected
	if !good {
		sent.Expected = workload.Estimate{}
	}
	x.g.Directory.update(t.ID, func(t *Target) {
		t.changeWork(func(w *workload.Target) { usualMs = w.End(now, sent, took) })
	})
	if good && took > 0 {
		x.g.work.Finished(x.service, x.route.Name, usualMs)
		x.observeError(expected.FirstByte(), took)
	}
}

// observeError records how far the expected time to the answer was off.
func (x *exchange) observeError(expected, actual time.Duration) {
	x.g.work.Observed(x.service, expected, actual)
	x.g.Metrics.Observe(MetricEstimateError, (actual - expected).Abs())
}

// slowness returns the last load report of a target, and whether it contains its slowness.
func (d *Directory) slowness(id string) (load port.LoadReport, reports bool) {
	d.update(id, func(t *Target) { load = t.Load })
	return load, load.SlownessPercent > 0
}

// round2 rounds to two decimals for the log.
func round2(x float64) float64 { return math.Round(x*100) / 100 }

// maxSentAttrs is the largest number of attributes of the line "sent".
const maxSentAttrs = 24

// logAttempt logs the target of an attempt and the inputs of the choice, so that a request
// can be traced even if its router dies before it ends.
func (x *exchange) logAttempt(ctx context.Context, t Target) {
	attrs := append(make([]slog.Attr, 0, maxSentAttrs), slog.String("request", x.r.ID), slog.String("target", t.ID), slog.Int("send", x.attempts),
		slog.Int("in_flight", t.InFlight), slog.Float64("left_ms", ms(x.deadline.Sub(x.g.Clock.Now()))))
	if share := t.Reliability.FailureShare(x.g.Clock.Now()); share > 0 {
		attrs = append(attrs, slog.Float64("failure_share", share))
	}
	if limit := x.g.rates.PerSecond(string(t.Incarnation())); limit > 0 {
		attrs = append(attrs, slog.Float64("limit_per_s", limit))
	}
	if s := x.g.stop.Load(); s != nil {
		attrs = append(attrs, slog.Float64("stop_left_ms", ms(s.FinalAnswers.Sub(x.g.Clock.Now()))))
	}
	if x.engine != nil {
		attrs = append(attrs, slog.String("session", x.session()), slog.String("shared", x.sharedParts()), slog.Int("prompt_tokens", x.r.PromptTokens),
			slog.Int("cached_tokens", x.score.CachedTokens), slog.Int("elsewhere_tokens", x.cachedElsewhere),
			slog.Float64("queue_ms", x.score.QueueMs), slog.Float64("prefill_ms", x.score.PrefillMs),
			slog.Float64("link_ms", x.score.LinkMs), slog.Float64("speed", round2(x.score.SpeedFactor)), slog.Float64("slowness", round2(x.score.Slowness)),
			slog.Float64("remaining_ms", round2(x.score.RemainingMs)),
			slog.String("reason", x.score.Reason), slog.Int("weights", t.Weights[x.r.Model]))
		if x.fetchFrom != "" || x.saveTo != "" {
			attrs = append(attrs, slog.String("fetch_from", x.fetchFrom), slog.String("save_to", x.saveTo))
		}
	}
	if l := &x.plain.Load; x.engine == nil {
		attrs = append(attrs, slog.Float64("queue_ms", round2(l.WaitMs+l.LateMs)), slog.Float64("service_ms", round2(l.ServiceMs)),
			slog.Float64("link_ms", x.plain.LinkMs), slog.Float64("remaining_ms", round2(l.RemainingMs)),
			slog.Float64("speed", round2(l.Factor)), slog.Float64("slowness", round2(l.Slowness)))
	}
	x.g.Log.LogAttrs(ctx, slog.LevelInfo, "sent", attrs...)
}
