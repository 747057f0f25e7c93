package workload

import "math"

const (
	// DefaultServiceMs is assumed of plain requests until the first has been answered.
	DefaultServiceMs = 20
	// servicePrior is the number of samples as which the first assumption counts.
	servicePrior = 1
	// serviceGain is the lowest weight of a new sample.
	serviceGain = 0.03
	// outlierDeviations is how many deviations from the mean a sample counts at most: a
	// request that hung says little of the next one.
	outlierDeviations = 4
)

// ServiceTime estimates the mean and the deviation of the service time of the requests of one
// kind, in ms. The zero value is DefaultServiceMs with a deviation as large.
type ServiceTime struct {
	samples, mean, variance float64
}

// Observe returns the estimate after one more request.
func (e ServiceTime) Observe(ms float64) ServiceTime {
	if !(ms >= 0) || math.IsInf(ms, 0) {
		return e
	}
	if e.samples == 0 {
		return ServiceTime{samples: 1, mean: ms, variance: ms * ms}
	}
	limit := outlierDeviations * e.DeviationMs()
	sample := min(max(ms, e.mean-limit), e.mean+limit)
	gain := max(serviceGain, 1/(e.samples+servicePrior))
	d := sample - e.mean
	e.samples++
	e.mean += gain * d
	e.variance = (1 - gain) * (e.variance + gain*d*d)
	return e
}

// Ms is the mean.
func (e ServiceTime) Ms() float64 {
	if e.samples == 0 {
		return DefaultServiceMs
	}
	return e.mean
}

// DeviationMs is the standard deviation of one request's time from Ms, including the error of
// the mean, which falls with the number of samples.
func (e ServiceTime) DeviationMs() float64 {
	if e.samples == 0 {
		return DefaultServiceMs
	}
	return math.Sqrt(e.variance * (1 + 1/e.samples))
}

// Samples is the number of requests observed.
func (e ServiceTime) Samples() int { return int(e.samples) }

const (
	// DefaultDecodeMsPerToken is assumed of engines until answers have been measured.
	DefaultDecodeMsPerToken = 10
	// decodePrior is the number of answers as which the assumption counts.
	decodePrior = 8
	// maxDecodeWeight bounds the number of answers that count.
	maxDecodeWeight = 200
	// minDecodeMs and maxDecodeMs bound the sample and the estimate. Shorter and longer
	// times per token are errors of measurement, such as a stream that was cut or stood.
	minDecodeMs, maxDecodeMs = 0.1, 500
	// minDecodeTokens is the shortest answer that is measured.
	minDecodeTokens = 8
)

// DecodeRate estimates the time per output token of the engines of one service as a line over
// the number of requests that run at once. The zero value is DefaultDecodeMsPerToken.
type DecodeRate struct {
	// n, x, y, xx and xy are the weight and the weighted sums of a linear regression.
	n, x, y, xx, xy float64
}

// Observe returns the estimate after one more answer: its number of tokens, their time on an
// engine of usual speed, and the number of requests that ran on the engine at the time.
func (d DecodeRate) Observe(tokens int, ms float64, running int) DecodeRate {
	perToken := ms / float64(max(tokens, 1))
	if tokens < minDecodeTokens || !(perToken >= minDecodeMs) || perToken > maxDecodeMs {
		return d
	}
	at := float64(max(running, 1))
	perToken = min(perToken, 4*d.MsPerToken(running))
	kept := min(1, maxDecodeWeight/(d.n+1))
	d.n, d.x, d.y, d.xx, d.xy = d.n*kept+1, d.x*kept+at, d.y*kept+perToken, d.xx*kept+at*at, d.xy*kept+at*perToken
	return d
}

// UsualRunning is the average number of requests that ran at once.
func (d DecodeRate) UsualRunning() int {
	if d.n == 0 {
		return 1
	}
	return max(1, int(d.x/d.n+0.5))
}

// MsPerToken is the time per token while so many requests run at once.
func (d DecodeRate) MsPerToken(running int) float64 {
	// The prior lies at the mean of x, where it does not turn the line.
	n := d.n + decodePrior
	level := (d.y + decodePrior*DefaultDecodeMsPerToken) / n
	if d.n < 2 {
		return level
	}
	mean := d.x / d.n
	spread := d.xx - d.x*mean
	slope := 0.0
	if spread > 1e-9 {
		slope = max(0, (d.xy-d.x*d.y/d.n)/(spread+decodePrior))
	}
	return min(max(level+slope*(float64(max(running, 1))-mean), minDecodeMs), maxDecodeMs)
}
