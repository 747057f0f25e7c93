package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/panics"
)

// panickingPlacer panics in the next call of Rank.
type panickingPlacer struct {
	placement.Placer
	armed bool
}

func (p *panickingPlacer) Rank(now time.Time, req placement.Request, targets []placement.Target) []placement.Score {
	if p.armed {
		p.armed = false
		panic("unexpected")
	}
	return p.Placer.Rank(now, req, targets)
}

// Guards against an unexpected error of one request that ends the process, leaves the
// request counted as open, or is reported as "not run".
func TestPanicEndsItsRequestOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t, fine)
		w.Placer = &panickingPlacer{Placer: w.Placer, armed: true}
		before := panics.Count()
		_, err := w.send(t.Context(), "check")
		is.Equal(failureOf(err).Kind, KindUnknown)
		is.Equal(panics.Count(), before+1)
		is.Equal(w.OpenRequests(), 0)
		out, err := w.send(t.Context(), "check")
		is.NoErr(err)
		is.Equal(out.status, http.StatusOK)
	})
}
