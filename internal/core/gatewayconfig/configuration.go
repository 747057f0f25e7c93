// Package site holds the operator's configuration of a deployment in which
// requests are passed on unchanged, and answers what it says of one request.
package gatewayconfig

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run once at most.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a stream of numbered events; they run
	// once at most unless the route is Resumable.
	Streaming
)

// Route says where requests go and what holds for them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may continue at another target behind their last event.
	Resumable bool
	// Services take the requests in proportion to their weights.
	Services []WeightedService
	// MaxAttempts bounds the targets that may run one request.
	MaxAttempts int
	// Timeout is the longest time to the final answer.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is on time.
	Objective time.Duration
	// Priority is the rank of the route, 0 is the highest.
	Priority int
	// Anonymous routes need no key.
	Anonymous bool
}

// Retryable reports whether a request of the route may run again after a run
// of unknown outcome.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// WeightedService is the weight of one service in a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of equal targets.
type Service struct {
	Name string
	// Engine is set for services that run models.
	Engine *Engine
	// Store is set for a store of cached prompt parts, which no route names.
	Store *KVStore
}

// KVStore keeps cached prompt parts for all engines.
type KVStore struct {
	Address          string
	AvailabilityZone string
	// EventReaders bounds the readers of cache events that the store serves.
	EventReaders int
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// CacheTokens is the memory of one engine in tokens.
	CacheTokens int
	// TokenBytes is the size of one cached token, LinkMbps the rate at which cached
	// parts leave and reach an engine; 0: parts cannot be fetched.
	TokenBytes float64
	LinkMbps   float64
	// EventReaders bounds the readers of cache events that one engine serves.
	EventReaders int
}

// ClientAccount is a customer with its keys.
type ClientAccount struct {
	Name string
	// Priority is the rank of the account, 0 is the highest; nil leaves the
	// route's.
	Priority *int
	// Isolated accounts share no cached prompt part with others.
	Isolated bool
}

// Limits bound what a client may send.
type Limits struct {
	MaxBodyBytes int64
	IdleTimeout  time.Duration
}

// Configuration is one version of what the operator wrote, immutable once built.
type Configuration struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// accounts maps keys to accounts; nil when the deployment has no accounts.
	accounts map[string]*ClientAccount
	// routes holds the routes of each host, the longest prefix first.
	routes map[string][]*Route
}

// Definition is what a Configuration is built from.
type Definition struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []AccountDefinition
	Limits   Limits
}

// AccountDefinition is a client account with its keys.
type AccountDefinition struct {
	ClientAccount
	Keys []string
}

// New builds a configuration.
func New(d Definition) *Configuration {
	c := &Configuration{Version: d.Version, Limits: d.Limits,
		Services: map[string]*Service{}, routes: map[string][]*Route{}}
	for i := range d.Services {
		c.Services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, routes := range c.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	if len(d.Accounts) > 0 {
		c.accounts = map[string]*ClientAccount{}
	}
	for i := range d.Accounts {
		for _, key := range d.Accounts[i].Keys {
			c.accounts[key] = &d.Accounts[i].ClientAccount
		}
	}
	return c
}

// Route returns the route of the host with the longest prefix that begins the
// path, nil when there is none.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests of the route must carry a key.
func (c *Configuration) NeedsKey(r *Route) bool { return c.accounts != nil && !r.Anonymous }

// Account returns the account that holds the key, nil when none does.
func (c *Configuration) Account(key string) *ClientAccount { return c.accounts[key] }

// PickService picks the service for a request; spread is uniform over all uint64.
func (r *Route) PickService(spread uint64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.Services) == 0 {
			return ""
		}
		return r.Services[0].Service
	}
	at := int(spread % uint64(total))
	for _, s := range r.Services {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// maxUrgency is the last rank that targets know.
const maxUrgency = 9

// ranksPerAccount is the number of route ranks kept apart within one rank of accounts.
const ranksPerAccount = 3

// Urgency ranks a request on its target, 0 first: by its account, then by its route.
func Urgency(r *Route, a *ClientAccount) int {
	rank := min(r.Priority, ranksPerAccount-1)
	if a != nil && a.Priority != nil {
		rank += ranksPerAccount * *a.Priority
	}
	return max(0, min(rank, maxUrgency))
}
