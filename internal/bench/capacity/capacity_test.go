package capacity

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against slopes with a wrong number of calls or of bytes per unit.
func TestMeasurementsPerUnit(t *testing.T) {
	is := is.New(t)
	calls := 0
	r := measureCalls("r", "call", 10, func(int) { calls++ })
	is.Equal(calls, 10)
	is.Equal(r.Count, 10)
	g := measureBuild("g", "MiB", 8, func() any { return make([]byte, 8<<20) })
	is.True(g.Bytes >= 1<<20) // the memory stays live until it is measured
}
