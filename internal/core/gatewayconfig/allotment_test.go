package gatewayconfig

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that pay nothing because they state no tokens, and against
// requests that are charged in the wrong unit.
func TestCost(t *testing.T) {
	is := is.New(t)
	requests := Allotment{Rate: 1, DefaultTokens: 9}
	is.Equal(requests.Cost(1000, 10), 1.0)
	is.Equal(requests.Cost(0, 0), 1.0)
	tokens := Allotment{Rate: 1, CountsTokens: true, DefaultTokens: 9}
	is.Equal(tokens.Cost(1000, 10), 1010.0)
	is.Equal(tokens.Cost(0, 10), 10.0)
	is.Equal(tokens.Cost(0, 0), 9.0)
}

// Guards against an account that is defined twice and gets two limits, of which the order of
// its keys decides which is in force.
func TestDefinitionsOfOneNameShareTheStrictestAllotment(t *testing.T) {
	is := is.New(t)
	define := func(key string, rate, burst float64) AccountDefinition {
		return AccountDefinition{Keys: []string{key}, ClientAccount: ClientAccount{Name: "a", Allotment: Allotment{Rate: rate, Burst: burst}}}
	}
	for _, order := range [][]AccountDefinition{
		{define("k1", 0, 0), define("k2", 7, 3), define("k3", 7, 2), define("k4", 9, 1)},
		{define("k4", 9, 1), define("k3", 7, 2), define("k2", 7, 3), define("k1", 0, 0)},
	} {
		c := New(Definition{Accounts: order})
		for _, key := range []string{"k1", "k2", "k3", "k4"} {
			is.Equal(c.Account(key).Allotment, Allotment{Rate: 7, Burst: 2})
		}
		is.Equal(c.Allotments(), map[string]Allotment{"a": {Rate: 7, Burst: 2}})
	}
}
