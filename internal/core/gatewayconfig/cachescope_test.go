package gatewayconfig

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property test unless a flag sets another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// accountsOf returns a configuration with the accounts; the value says whether one is isolated.
func accountsOf(accounts map[string]bool) *Configuration {
	d := Definition{}
	for name, isolated := range accounts {
		d.Accounts = append(d.Accounts, AccountDefinition{ClientAccount: ClientAccount{Name: name, Isolated: isolated}})
	}
	return New(d)
}

// Guards against an account that shares a scope with one that is isolated or has ended, in
// any order of configurations, and whatever a router knows of earlier ones.
func TestScopesOfAccountsThatChangeAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := map[string]bool{}
		users := map[string]map[string]bool{} // of each scope so far
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			name := fmt.Sprint("t", rapid.IntRange(0, 4).Draw(t, "account"))
			if rapid.IntRange(0, 2).Draw(t, "change") == 0 {
				delete(accounts, name)
			} else {
				accounts[name] = rapid.Bool().Draw(t, "isolated")
			}
			c := accountsOf(accounts)
			for _, user := range slices.Sorted(maps.Keys(accounts)) {
				scope := c.CacheScope(&ClientAccount{Name: user})
				if users[scope] == nil {
					users[scope] = map[string]bool{}
				}
				users[scope][user] = true
				for other := range users[scope] {
					isolated, known := accounts[other]
					if other != user && (isolated || !known || accounts[user]) {
						t.Fatalf("%s uses scope %s of %s, accounts %v", user, scope, other, accounts)
					}
				}
			}
		}
	})
}

// Guards against accounts that lose what they share for no reason, and against a request of
// an account that has ended in the scope of others.
func TestSharedScope(t *testing.T) {
	is := is.New(t)
	c := accountsOf(map[string]bool{"a": false, "b": false, "c": true})
	shared := c.CacheScope(nil)
	is.Equal(c.CacheScope(&ClientAccount{Name: "a"}), shared)
	is.Equal(c.CacheScope(&ClientAccount{Name: "b"}), shared)
	is.Equal(accountsOf(map[string]bool{"b": false, "a": false}).CacheScope(nil), shared) // an isolated one has ended
	is.True(c.CacheScope(&ClientAccount{Name: "ended"}) != shared)
	is.True(accountsOf(map[string]bool{"ab": false}).CacheScope(nil) != shared)
	// A name may look like a scope.
	is.True(accountsOf(map[string]bool{shared: true}).CacheScope(&ClientAccount{Name: shared}) != shared)
	twice := New(Definition{Accounts: []AccountDefinition{{ClientAccount: ClientAccount{Name: "a", Isolated: true}}, {ClientAccount: ClientAccount{Name: "a"}}}})
	is.True(twice.CacheScope(&ClientAccount{Name: "a"}) != twice.CacheScope(nil))
}
