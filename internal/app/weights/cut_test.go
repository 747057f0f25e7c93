package weights

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/lease"
	"mimosaseam.example/mimosaseam/internal/port"
)

// cutLog cuts its responses after two records.
type cutLog struct{ port.Log }

func (l cutLog) Read(ctx context.Context, stream string, from port.Offset, limit int, wait time.Duration) (port.Batch, error) {
	return l.Log.Read(ctx, stream, from, min(limit, 2), wait)
}

// Guards against a lease that counts as free because the log cut its response before the
// claim in force.
func TestCutReadOfClaims(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for i := range 5 {
		data, err := lease.Encode(lease.Claim{Holder: "other", After: port.Offset(i), TTLMs: 1000})
		is.NoErr(err)
		_, err = f.log.Append(t.Context(), port.StreamOrders, []port.Record{{ID: "c", Data: data}})
		is.NoErr(err)
	}
	m := f.manager("A")
	m.Log = cutLog{f.log}
	is.NoErr(m.readClaims(t.Context()))
	current, known := m.claims.Current()
	is.True(known)
	is.Equal(current.Offset, port.Offset(5))
}
