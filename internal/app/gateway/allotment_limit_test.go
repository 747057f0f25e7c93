package gateway

import (
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
)

// Guards against an allotment under which no request, or none with a long prompt, can ever run.
func TestAllotmentLimits(t *testing.T) {
	for name, c := range map[string]struct {
		allotment gatewayconfig.Allotment
		slack     float64
		want      allotment.Limit
	}{
		"as configured":     {gatewayconfig.Allotment{Rate: 10, Burst: 30}, 0, allotment.Limit{Rate: 10, Burst: 30}},
		"no burst":          {gatewayconfig.Allotment{Rate: 100}, 0, allotment.Limit{Rate: 100, Burst: 5}},
		"less than one":     {gatewayconfig.Allotment{Rate: 0.5}, 0, allotment.Limit{Rate: 0.5, Burst: 1}},
		"tokens, tolerant":  {gatewayconfig.Allotment{Rate: 18000, Burst: 18000, CountsTokens: true}, 72000, allotment.Limit{Rate: 18000, Burst: 18000, Debt: true}},
		"tokens, no excess": {gatewayconfig.Allotment{Rate: 18000, Burst: 18000, CountsTokens: true}, 0, allotment.Limit{Rate: 18000, Burst: 18000}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			s := *w.settings()
			s.AllotmentSlack = c.slack
			w.SetSettings(s)
			is.New(t).Equal(w.allotmentLimit(c.allotment), c.want)
		})
	}
}
