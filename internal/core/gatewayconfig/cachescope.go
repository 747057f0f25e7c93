package gatewayconfig

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"maps"
	"slices"
)

const (
	// ownScope and commonScope keep the scopes of accounts apart from the shared ones,
	// whatever the names of the accounts. Targets repeat a scope in each cache event.
	ownScope    = "a/"
	commonScope = "s/"
	// scopeHashBytes is the size of the hash in the name of a shared scope: too large for
	// accounts whose names were made to collide.
	scopeHashBytes = 12
)

// CacheScope returns the KV cache scope of an account's requests, or of anonymous ones.
// Requests of different accounts use the same scope only while none of all accounts that
// ever used it is isolated. An account that has ended, whose last requests may still be
// running, shares nothing any more.
func (c *Configuration) CacheScope(a *ClientAccount) string {
	if a == nil {
		return c.sharedScope
	}
	if isolated, known := c.isolated[a.Name]; isolated || !known {
		return ownScope + a.Name
	}
	return c.sharedScope
}

// IsolatedAccounts returns the number of accounts that share nothing.
func (c *Configuration) IsolatedAccounts() (n int) {
	for _, isolated := range c.isolated {
		if isolated {
			n++
		}
	}
	return n
}

// Accounts returns the number of accounts.
func (c *Configuration) Accounts() int { return len(c.isolated) }

// isolation returns the names of the accounts and whether each is isolated. One definition
// that says so isolates the account.
func isolation(accounts []AccountDefinition) map[string]bool {
	out := map[string]bool{}
	for _, a := range accounts {
		out[a.Name] = out[a.Name] || a.Isolated
	}
	return out
}

// sharedScope names the scope after the accounts that share it. Once one of them is isolated
// or ends, the others leave the scope that holds what it has computed; they return to it only
// with the same accounts. The name needs no memory of earlier configurations, which a router
// that has just started lacks.
func sharedScope(isolated map[string]bool) string {
	hash := sha256.New()
	members := 0
	for _, name := range slices.Sorted(maps.Keys(isolated)) {
		if !isolated[name] {
			members++
			// Lengths keep names with any content apart.
			hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(name))))
			hash.Write([]byte(name))
		}
	}
	if members == 0 {
		return commonScope
	}
	return commonScope + base64.RawURLEncoding.EncodeToString(hash.Sum(nil)[:scopeHashBytes])
}
