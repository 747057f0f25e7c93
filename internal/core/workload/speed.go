package workload

import (
	"math"
	"time"
)

const (
	// slownessHalfLife is the age at which half of what a report says of the present is left.
	// The reported figure changes many times a second: with half-lives of 50 ms and 2 s, 157
	// and 169 of 10,000 requests of the load driver were late, with this one 135.
	slownessHalfLife = 200 * time.Millisecond
	// minSlowness and maxSlowness bound what one report can do.
	minSlowness, maxSlowness = 0.5, 3.0
	// minSpeed and maxSpeed bound the learned factor. The slowest targets known take 1.7
	// times the usual time and the fastest 0.7 times.
	minSpeed, maxSpeed = 0.6, 2.0
	// maxCorrection bounds the learned ratio of the work's duration to what the reports say
	// of it, so that a target that always reports minSlowness is still found out.
	maxCorrection = maxSpeed / minSlowness
	// speedPrior is the number of samples as which the usual speed of the service counts.
	// With times that vary by a third around their mean and targets that do so too, few
	// samples say about as much as the service's mean.
	speedPrior = 3
	// maxSpeedWeight bounds the number of samples, so that a target whose speed changes is
	// learned anew.
	maxSpeedWeight = 40
	// speedHalfLife is the half-life of samples: a router with few requests sees an engine
	// every ten seconds or so, and speeds rarely change.
	speedHalfLife = 5 * time.Minute
	// reportGain is the lowest weight of a report in the average of reports.
	reportGain = 0.05
	// maxDeviation bounds the ratio of one sample to the estimate, in either direction.
	maxDeviation = 2.5
)

// Speed estimates how long work takes on one target as a multiple of the usual time of its
// service. It combines finished work with the slowness that the target reports. The zero value
// knows nothing: the factor is 1.
type Speed struct {
	// sum and weight are of the logarithms of the ratio of finished work's duration to the
	// expected one, after what the reports account for.
	sum, weight float64
	learnedAt   time.Time
	// mean is the average logarithm of the reports, of which there were so many; last is
	// the latest one and reportedAt its time.
	mean, last, reports float64
	reportedAt          time.Time
	// correction and typical are derived from the above, so that Factor takes no logarithms.
	correction, typical float64
}

// Finish returns the estimate after work that took ratio times the duration that is usual in
// the service.
func (s Speed) Finish(now time.Time, ratio float64) Speed {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return s
	}
	sample := math.Log(ratio) - s.reported(now)
	limit := math.Log(maxDeviation)
	sample = min(max(sample, s.correction-limit), s.correction+limit)
	if !s.learnedAt.IsZero() {
		kept := halved(now.Sub(s.learnedAt), speedHalfLife)
		kept = min(kept, maxSpeedWeight/(s.weight+1))
		s.sum, s.weight = s.sum*kept, s.weight*kept
	}
	s.sum, s.weight, s.learnedAt = s.sum+sample, s.weight+1, now
	return s.derived()
}

// Report returns the estimate after a report of the slowness in percent of the usual; 0 or
// less tells nothing.
func (s Speed) Report(now time.Time, percent float64) Speed {
	if !(percent > 0) {
		return s
	}
	s.last, s.reportedAt = math.Log(min(max(percent/100, minSlowness), maxSlowness)), now
	s.reports++
	s.mean += max(reportGain, 1/(s.reports+1)) * (s.last - s.mean)
	return s.derived()
}

func (s Speed) derived() Speed {
	limit := math.Log(maxCorrection)
	s.correction = min(max(s.sum/(s.weight+speedPrior), -limit), limit)
	s.typical = min(max(s.correction+s.mean, math.Log(minSpeed)), math.Log(maxSpeed))
	return s
}

// Reports tells whether the target has reported its slowness.
func (s Speed) Reports() bool { return s.reports > 0 }

// Learned is the factor without what the latest report says of the present.
func (s Speed) Learned() float64 { return math.Exp(s.typical) }

// Slowness is the part of the latest report that holds still, as a multiple of the target's
// typical time.
func (s Speed) Slowness(now time.Time) float64 {
	if s.reports == 0 {
		return 1
	}
	return math.Exp(s.momentary(now))
}

// Factor is how long work takes now as a multiple of the usual time of the service. It is 1
// for targets that do not report their slowness, so that the choice between them is the one
// that was made before slowness was read.
func (s Speed) Factor(now time.Time) float64 {
	if s.reports == 0 {
		return 1
	}
	return math.Exp(s.typical + s.momentary(now))
}

// momentary is the logarithm of the slowness.
func (s Speed) momentary(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	if age > 20*slownessHalfLife {
		return 0
	}
	return (s.last - s.mean) * halved(age, slownessHalfLife)
}

// reported is the logarithm of the slowness that the reports alone tell.
func (s Speed) reported(now time.Time) float64 {
	if s.reports == 0 {
		return 0
	}
	return s.mean + s.momentary(now)
}

// halved is the part left of a value with the half-life.
func halved(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
