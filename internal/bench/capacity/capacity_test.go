package capacity

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a slope that is reported without having been measured.
func TestRepeatAndGrowCountTheirUnits(t *testing.T) {
	is := is.New(t)
	calls := 0
	r := repeat("r", "call", 10, func(int) { calls++ })
	is.Equal(calls, 10)
	is.Equal(r.Count, 10)
	g := grow("g", "MiB", 8, func() any { return make([]byte, 8<<20) })
	is.True(g.Bytes >= 1<<20) // the memory stays live until it was read
}
