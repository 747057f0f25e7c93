package workload

import (
	"math"
	"sync"
	"time"
)

const (
	// maxRoutes bounds the routes of one service with a cost of their own. Others have the
	// cost of the mix.
	maxRoutes = 4096
	// errorGain is the weight of a new error in the average, maxErrorMs bounds one error.
	errorGain  = 0.05
	maxErrorMs = 10_000
	// mixPrior is the number of samples as which the mix counts in the cost of a route.
	mixPrior = 2
	// usualGain is the weight of a report in the average over all targets of a service.
	usualGain = 0.05
)

// Services holds what the targets of each service have in common: the cost of its requests and
// the usual load. It is safe for concurrent use. The zero value is empty.
type Services struct {
	mu        sync.Mutex
	byService map[string]*service
}

type service struct {
	mix    ServiceTime
	routes map[string]ServiceTime
	decode DecodeRate
	// error is the average square of the error of the expected times to the first byte, in ms².
	error float64
	// others is the average number of requests of other routers that reports counted.
	others   float64
	othersAt time.Time
}

// Cost is what is known of the requests of one route of a service.
type Cost struct {
	// Route is the service time of the route's requests on a target of usual speed, Mix that
	// of all requests of the service.
	Route, Mix ServiceTime
	// UsualOthers is the average number of requests of other routers on a target.
	UsualOthers float64
	// Reports is set if targets of the service report their slowness.
	Reports bool
}

func (s *Services) get(name string) *service {
	if s.byService == nil {
		s.byService = map[string]*service{}
	}
	v := s.byService[name]
	if v == nil {
		v = &service{routes: map[string]ServiceTime{}}
		s.byService[name] = v
	}
	return v
}

// Cost returns the cost of the requests of a route.
func (s *Services) Cost(now time.Time, service, route string) Cost {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.get(service)
	return Cost{Route: v.routes[route].shrunk(v.mix), Mix: v.mix, UsualOthers: v.others * halved(now.Sub(v.othersAt), ReportTTL),
		Reports: !v.othersAt.IsZero()}
}

// Finished records the time that a request would have taken on an idle target of the usual
// speed, as Target.End returns it.
func (s *Services) Finished(service, route string, usualMs float64) {
	if usualMs <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.get(service)
	v.mix = v.mix.Observe(usualMs)
	if old, known := v.routes[route]; known || len(v.routes) < maxRoutes {
		v.routes[route] = old.Observe(usualMs)
	}
}

// Reported records a report of a target and the number of requests of other routers that it
// counts, as Target.Observe returns it. Reports without slowness are ignored.
func (s *Services) Reported(now time.Time, service string, r Report, others float64) {
	if r.SlownessPercent <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.get(service)
	usual := v.others * halved(now.Sub(v.othersAt), ReportTTL)
	v.others, v.othersAt = usual+usualGain*(others-usual), now
}

// DecodeMsPerToken is the time per output token while as many requests run on an engine as
// usual.
func (s *Services) DecodeMsPerToken(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.get(service).decode
	return d.MsPerToken(d.UsualRunning())
}

// Decoded records the tokens of an answer, their time on an engine of usual speed, and the
// number of requests that ran there at once.
func (s *Services) Decoded(service string, tokens int, ms float64, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.get(service)
	v.decode = v.decode.Observe(tokens, ms, running)
}

// Observed records the expected and the actual time to the first byte of an answer.
func (s *Services) Observed(service string, expected, actual time.Duration) {
	ms := min(max(milliseconds(actual-expected), -maxErrorMs), maxErrorMs)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.get(service)
	v.error += errorGain * (ms*ms - v.error)
}

// Deviation is the deviation of the actual times to the first byte from the expected ones.
func (s *Services) Deviation(service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return duration(math.Sqrt(s.get(service).error))
}

// shrunk draws the mean to that of the mix while there are few samples.
func (e ServiceTime) shrunk(mix ServiceTime) ServiceTime {
	if e.samples == 0 {
		// All that is known is that the route is one of the mix.
		mix.samples = min(mix.samples, 1)
		return mix
	}
	if mix.samples > 0 {
		e.mean = (e.mean*e.samples + mixPrior*mix.mean) / (e.samples + mixPrior)
	}
	return e
}
