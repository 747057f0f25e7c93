package gatewayconfig

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func testConfiguration() *Configuration {
	return New(Definition{Version: 3,
		Routes: []Route{
			{Name: "short", Host: "a", Prefix: "/x/"}, {Name: "long", Host: "a", Prefix: "/x/y/"},
			{Name: "open", Host: "b", Prefix: "/", Anonymous: true},
		},
		Accounts: []AccountDefinition{{ClientAccount: ClientAccount{Name: "one"}, Keys: []string{"k1", "k2"}}}})
}

// Guards against a request that matches the route of a shorter prefix, of another
// host, or of a partial path element.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	cases := []struct{ host, path, want string }{
		{"a", "/x/y/z", "long"}, {"a", "/x/yy", "short"}, {"a", "/x/", "short"}, {"a", "/xx/", ""}, {"a", "/x", ""},
		{"b", "/x/y/", "open"}, {"c", "/x/", ""},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			got := ""
			if r := testConfiguration().Route(c.host, c.path); r != nil {
				got = r.Name
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

// Guards against a key that is accepted without an account, and an anonymous route
// that requires a key.
func TestKeys(t *testing.T) {
	is := is.New(t)
	c := testConfiguration()
	is.Equal(c.Account("k2").Name, "one")
	is.True(c.Account("") == nil)
	is.True(c.Account("k3") == nil)
	is.True(c.NeedsKey(c.Route("a", "/x/")))
	is.True(!c.NeedsKey(c.Route("b", "/")))
	is.True(!New(Definition{}).NeedsKey(&Route{}))
	is.True(New(Definition{HasAccounts: true}).NeedsKey(&Route{}))
	is.True(!New(Definition{HasAccounts: true}).NeedsKey(&Route{Anonymous: true}))
}

// Guards against services that receive requests out of proportion to their weights.
func TestServicesShareByWeight(t *testing.T) {
	is := is.New(t)
	r := Route{Services: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}}
	count := map[string]int{}
	for i := range uint64(1000) {
		count[r.PickService(i)]++
	}
	is.Equal(count, map[string]int{"a": 900, "b": 100})
	is.Equal((&Route{Services: []WeightedService{{"only", 0}}}).PickService(7), "only")
	is.Equal((&Route{}).PickService(7), "")
}

// Guards against a rank outside 0 to 9, and a route that outranks its account.
func TestRank(t *testing.T) {
	is := is.New(t)
	rank := func(n int) *ClientAccount { return &ClientAccount{Priority: &n} }
	is.Equal(Rank(&Route{Priority: 1}, nil), 1)
	is.Equal(Rank(&Route{Priority: 1}, &ClientAccount{}), 1)
	is.True(Rank(&Route{Priority: 2}, rank(0)) < Rank(&Route{Priority: 0}, rank(1)))
	is.Equal(Rank(&Route{Priority: 50}, rank(50)), 9)
}

// Guards against a delayed verification that replaces a more recent one.
func TestFreshnessIgnoresOlderVerification(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var f Freshness
	is.True(f.Age(now) > time.Hour)
	f.MarkVerified(now)
	f.MarkVerified(now.Add(-time.Second))
	is.Equal(f.Age(now.Add(time.Second)), time.Second)
}

// Guards against retries of requests that must run at most once.
func TestRetryable(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Idempotent}).Retryable())
	is.True((&Route{Kind: Streaming, Resumable: true}).Retryable())
	is.True(!(&Route{Kind: Streaming}).Retryable())
	is.True(!(&Route{Kind: NonIdempotent, Resumable: true}).Retryable())
}
