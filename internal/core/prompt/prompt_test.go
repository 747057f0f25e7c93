package prompt

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against shared prefixes that are not recognized, and against sharing
// across client accounts or weights versions.
func TestBlockHashesIdentifySharedPrefixes(t *testing.T) {
	is := is.New(t)
	scope := port.Scope{ClientAccount: "a", WeightsVersion: "v1"}
	prefix := strings.Repeat("x", 2*DefaultBlockBytes)
	one := BlockHashes(scope, prefix+strings.Repeat("1", DefaultBlockBytes), DefaultBlockBytes)
	two := BlockHashes(scope, prefix+strings.Repeat("2", DefaultBlockBytes), DefaultBlockBytes)
	is.Equal(len(one), 3)
	is.Equal(one[:2], two[:2])
	is.True(one[2] != two[2])

	other := BlockHashes(port.Scope{ClientAccount: "b", WeightsVersion: "v1"}, prefix, DefaultBlockBytes)
	is.True(other[0] != one[0])
	newer := BlockHashes(port.Scope{ClientAccount: "a", WeightsVersion: "v2"}, prefix, DefaultBlockBytes)
	is.True(newer[0] != one[0])
}

// Guards against a partial last block that is hashed as a complete one.
func TestBlockHashesIgnorePartialBlock(t *testing.T) {
	is := is.New(t)
	is.Equal(len(BlockHashes(port.Scope{}, strings.Repeat("x", DefaultBlockBytes-1), DefaultBlockBytes)), 0)
}
