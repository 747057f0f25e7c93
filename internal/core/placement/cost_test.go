package placement

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against prompts that leave their home for a faster engine which must read them again,
// and against ones that stay on a slow engine although a faster one could fetch them.
func TestOwnPrefill(t *testing.T) {
	for name, c := range map[string]struct {
		prefill, usual float64
		canFetch       bool
		want           float64
	}{
		"slower than usual, within tolerance": {300, 200, false, 200},
		"slower than tolerated":               {600, 200, false, 400},
		"faster than usual":                   {120, 200, false, 200},
		"slower, fetching":                    {300, 200, true, 300},
		"faster, fetching":                    {120, 200, true, 120},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(ownPrefillMs(c.prefill, c.usual, c.canFetch), c.want) })
	}
}
