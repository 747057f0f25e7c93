package workload

import (
	"math"
	"time"
)

const (
	// ReportTTL is the age after which a load report is ignored.
	ReportTTL = 2 * time.Second
	// othersHalfLives is the half-life of what a report counts beyond own requests, as a multiple
	// of the service time: the requests counted end, and others follow that depend less and
	// less on them.
	othersHalfLives = 2
	// minOthersHalfLife covers the transit of the report.
	minOthersHalfLife = 20 * time.Millisecond
	// othersGain is the weight of a report in the average of what the reports of one target
	// count beyond own requests.
	othersGain = 0.2
	// maxOthersPerSlot and maxOthers bound that count. Targets refuse requests long before.
	maxOthersPerSlot, maxOthers = 8, 64
	// remainingFloor is the share of the expected time that remains of a request that takes
	// longer than expected.
	remainingFloor = 0.1
	// takenGain is the weight of a new sample in the average time that requests took, and
	// takenHalfLife the age at which half of what it says of the present is left: an avoided
	// target is tried again.
	takenGain     = 0.1
	takenHalfLife = 30 * time.Second
	// overdueWeight is the weight of the time by which requests in flight are overdue: they
	// are expected to take as much longer again.
	overdueWeight = 2
	// maxOverdue bounds that time, as a multiple of the time expected of them: a request that
	// hangs says little of the next one, and other means find targets that do not answer.
	maxOverdue = 8
)

// Report is the load that a target reports. The zero value of SlownessPercent means unknown.
type Report struct {
	Running, Waiting int
	SlownessPercent  float64
}

// Target is the state of one plain target as known by one router. The zero value knows
// nothing. It is a small value: rankings work on copies.
type Target struct {
	Speed Speed
	// inFlight is the number of own requests, costMs the sum of their usual service times,
	// and startMs that of their starts after base.
	inFlight        int
	costMs, startMs float64
	base            time.Time
	// counted is the last report, own the number of own requests at its time.
	counted    Report
	own        int
	reportedAt time.Time
	// others is the average number of requests of others that reports counted.
	others float64
	// takenMs is the average time that requests took, including their waits, and takenAt the
	// time of the last.
	takenMs float64
	takenAt time.Time
}

// Sent describes a request in flight.
type Sent struct {
	At time.Time
	// CostMs is the usual service time of the request.
	CostMs float64
	// Expected is what it was expected to meet; the zero value: unknown.
	Expected Estimate
	// LinkMs is the part of Expected that is the network's.
	LinkMs float64
	// Factor is the target's factor at the time of sending.
	Factor float64
}

// InFlight is the number of own requests in flight.
func (t *Target) InFlight() int { return t.inFlight }

// Begin records a request that is sent to the target.
func (t *Target) Begin(s Sent) {
	if t.inFlight == 0 {
		t.base, t.costMs, t.startMs = s.At, 0, 0
	}
	t.inFlight++
	t.costMs += s.CostMs
	t.startMs += milliseconds(s.At.Sub(t.base))
}

// End records the end of a request. took is the time to the complete answer, 0 if there was
// none. It returns the time that the request would have taken on an idle target of the usual
// speed, 0 if that is not known.
func (t *Target) End(now time.Time, s Sent, took time.Duration) (usualMs float64) {
	if t.inFlight == 0 {
		return 0 // sent to an earlier incarnation
	}
	t.inFlight--
	t.costMs -= s.CostMs
	t.startMs -= milliseconds(s.At.Sub(t.base))
	if took <= 0 {
		return 0
	}
	ms := milliseconds(took)
	if t.takenMs == 0 {
		t.takenMs = ms
	}
	t.takenMs += takenGain * (ms - t.takenMs)
	t.takenAt = now
	if s.Expected.Service <= 0 || s.CostMs <= 0 {
		return 0
	}
	wait := milliseconds(s.Expected.Wait)
	work := ms - wait - s.LinkMs
	if work <= 0 || wait > 0.5*work {
		return 0 // the wait is known too badly to tell the rest
	}
	usualMs = work / s.Factor
	t.Speed = t.Speed.Finish(now, work/s.CostMs)
	return usualMs
}

// Observe records a load report and returns the number of requests of others that it counts.
func (t *Target) Observe(now time.Time, r Report, slots int) (others float64) {
	t.counted, t.own, t.reportedAt = r, t.inFlight, now
	t.Speed = t.Speed.Report(now, r.SlownessPercent)
	others = t.countedOthers(slots)
	t.others += othersGain * (others - t.others)
	return others
}

// countedOthers is the number of requests of others that the last report counts.
func (t *Target) countedOthers(slots int) float64 {
	bound := float64(maxOthersPerSlot*max(slots, 1) + maxOthers)
	return min(float64(max(0, t.counted.Running+t.counted.Waiting-t.own)), bound)
}

// Others estimates the number of requests of other routers on the target. usual is their
// average number on the targets of the service: what a report says is replaced by it as the
// report ages, because the other routers send more requests in that time, and mostly to the
// target that looked empty. A report without slowness holds as it is until ReportTTL.
// usual is 0 where no target reports its slowness.
func (t *Target) Others(now time.Time, usual, serviceMs float64, slots int) float64 {
	age := now.Sub(t.reportedAt)
	if !t.Speed.Reports() {
		if t.reportedAt.IsZero() || age >= ReportTTL {
			return usual
		}
		return t.countedOthers(slots)
	}
	usual += (t.others - usual) * halved(age, ReportTTL)
	if age >= ReportTTL {
		return usual
	}
	halfLife := max(minOthersHalfLife, time.Duration(othersHalfLives*serviceMs*float64(time.Millisecond)))
	return usual + (t.countedOthers(slots)-usual)*halved(age, halfLife)
}

// RemainingMs is the remaining service time of own requests at the usual speed, a request
// that takes longer than expected counting for a tenth of its time.
func (t *Target) RemainingMs(now time.Time, factor float64) float64 {
	if t.inFlight <= 0 {
		return 0
	}
	passed := float64(t.inFlight)*milliseconds(now.Sub(t.base)) - t.startMs
	return min(max(t.costMs-passed/factor, remainingFloor*t.costMs), t.costMs)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// overdueMs is the time by which own requests in flight are on average later than expected.
// They tell of a target that has become slow before its next report does.
func (t *Target) overdueMs(now time.Time, factor float64) float64 {
	if t.inFlight <= 0 {
		return 0
	}
	n := float64(t.inFlight)
	expected := t.costMs * factor / n
	return min(max(0, milliseconds(now.Sub(t.base))-t.startMs/n-expected), maxOverdue*expected)
}

// Load is the load of a target at the time of a decision.
type Load struct {
	// CostMs is the service time of the request on a target of the usual speed.
	CostMs float64
	// Factor is how long work takes there as a multiple of the usual time, Slowness the
	// momentary part of it.
	Factor, Slowness float64
	// Requests is the number of requests on the target, own and others'.
	Requests float64
	// RemainingMs is the time that all of its slots together need for them.
	RemainingMs float64
	// WaitMs is the expected wait for a slot, ServiceMs the expected service time, and
	// DeviationMs the deviation of the sum.
	WaitMs, ServiceMs, DeviationMs float64
	// LateMs is the wait that nothing known accounts for: a target that reports to be idle
	// or fast counts for no more than its answers have shown.
	LateMs float64
	// Reports is set if targets of the service report their slowness.
	Reports bool
}

// Load estimates what a request of the cost would meet on the target.
func (t *Target) Load(now time.Time, cost Cost, slots int) Load {
	l := Load{Factor: 1, Slowness: 1, CostMs: cost.Route.Ms(), Reports: cost.Reports || t.Speed.Reports()}
	n, mixMs := float64(max(slots, 1)), cost.Mix.Ms()
	if !l.Reports {
		l.ServiceMs = t.takenMs
		if t.takenMs <= 0 {
			l.ServiceMs = DefaultServiceMs
		}
		l.Requests = float64(t.inFlight) + t.Others(now, cost.UsualOthers, mixMs, slots)
		l.RemainingMs = l.Requests * l.ServiceMs
		l.DeviationMs = cost.Route.DeviationMs()
		l.wait(n, l.ServiceMs)
		return l
	}
	l.Factor, l.Slowness = t.Speed.Factor(now), t.Speed.Slowness(now)
	l.ServiceMs, l.DeviationMs = l.CostMs*l.Factor, cost.Route.DeviationMs()*l.Factor
	others := t.Others(now, cost.UsualOthers, mixMs, slots)
	l.Requests = float64(t.inFlight) + others
	l.RemainingMs = (t.RemainingMs(now, l.Factor) + others*mixMs) * l.Factor
	if l.Requests > 0 {
		l.wait(n, l.RemainingMs/l.Requests)
	}
	if taken := t.takenMs * l.CostMs / mixMs; taken > l.ServiceMs+l.WaitMs {
		l.LateMs = (taken - l.ServiceMs - l.WaitMs) * halved(now.Sub(t.takenAt), takenHalfLife)
	}
	l.LateMs += overdueWeight * t.overdueMs(now, l.Factor)
	l.DeviationMs = math.Hypot(l.DeviationMs, l.WaitMs/2)
	return l
}

// wait sets the wait from the mean remaining time of the requests on the target.
func (l *Load) wait(slots, requestMs float64) {
	if l.Requests >= slots {
		l.WaitMs = (l.Requests - slots + 1) / slots * requestMs
	}
}

// occupancyGrowth is the part of the service time that is added when all slots are occupied, so
// that ties go to the less loaded target. With none and with the double of it, 163 and 156 of
// 10,000 requests of the load driver were late, with this one 135.
const occupancyGrowth = 0.5

// ExpectedMs is the expected time of a request on the target, without the network.
func (l *Load) ExpectedMs(slots int) float64 {
	return l.ServiceMs*(1+l.Requests/float64(max(slots, 1))*occupancyGrowth) + l.WaitMs + l.LateMs
}

// Estimate is what a request is expected to meet on a target with this load.
func (l *Load) Estimate(linkMs float64) Estimate {
	return Estimate{Wait: duration(l.WaitMs + l.LateMs), Service: duration(l.ServiceMs + linkMs), Deviation: duration(l.DeviationMs)}
}

// Sent describes a request that is sent to the target with this load.
func (l *Load) Sent(now time.Time, linkMs float64) Sent {
	return Sent{At: now, CostMs: l.CostMs, Expected: l.Estimate(linkMs), LinkMs: linkMs, Factor: l.Factor}
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
