package gatewayconfig

import (
	"crypto/sha256"
	"encoding/base64"
	"math"
)

// Allotment is what an account may spend, on all routers together.
type Allotment struct {
	// Rate is in units per second; 0: no limit. Burst is in units.
	Rate, Burst float64
	// CountsTokens makes the unit a token, otherwise it is a request.
	CountsTokens bool
	// DefaultTokens is the cost of a request that states no tokens.
	DefaultTokens float64
}

// Limited reports whether the account has an allotment.
func (a *Allotment) Limited() bool { return a.Rate > 0 }

// Cost returns the units that a request costs. One that states no tokens, or no usable
// number of them, costs the default, so that the statement cannot be left out to pay less.
func (a *Allotment) Cost(promptTokens, outputTokens int) float64 {
	if !a.CountsTokens {
		return 1
	}
	if tokens := promptTokens + outputTokens; tokens > 0 {
		return float64(tokens)
	}
	return a.DefaultTokens
}

// strictest returns the smaller of two allotments. Accounts are known to the other routers
// by name, so that two definitions of one name share an allotment.
func strictest(a, b Allotment) Allotment {
	rate := func(x Allotment) float64 {
		if x.Limited() {
			return x.Rate
		}
		return math.Inf(1)
	}
	if rate(b) < rate(a) || rate(b) == rate(a) && b.Burst < a.Burst {
		return b
	}
	return a
}

// mergeAllotments gives the definitions of one name the strictest of their allotments.
func mergeAllotments(accounts []AccountDefinition) {
	byName := make(map[string]Allotment, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		if other, known := byName[a.Name]; known {
			byName[a.Name] = strictest(other, a.Allotment)
		} else {
			byName[a.Name] = a.Allotment
		}
	}
	for i := range accounts {
		accounts[i].Allotment = byName[accounts[i].Name]
	}
}

// maxPlainKeyBytes is the length up to which the name of an account is its key: routers send
// keys to each other several times a second.
const maxPlainKeyBytes = 64

// AllotmentKey names the allotment of an account in messages between routers. An account of
// a long name, or without one, is named by a hash.
func AllotmentKey(account string) string {
	if account != "" && len(account) <= maxPlainKeyBytes {
		return account
	}
	sum := sha256.Sum256([]byte(account))
	return "#" + base64.RawURLEncoding.EncodeToString(sum[:scopeHashBytes])
}

// Allotments returns the allotments that are limited, by AllotmentKey. They must not be
// modified.
func (c *Configuration) Allotments() map[string]Allotment { return c.allotments }
