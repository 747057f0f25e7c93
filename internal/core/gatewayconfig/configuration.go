// Package gatewayconfig holds the operator's configuration of a gateway, which
// forwards requests unchanged, and looks up the settings for a request.
package gatewayconfig

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind determines whether requests may be retried.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests return a stream of numbered events. They run at most once
	// unless the route is Resumable.
	Streaming
)

// Route defines the services and the rules for requests with a host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may be resumed on another target after their last event.
	Resumable bool
	// Services receive the requests in proportion to their weights.
	Services []WeightedService
	// MaxAttempts is the maximum number of targets that may run one request.
	MaxAttempts int
	// Timeout is the maximum time until the response is complete.
	Timeout time.Duration
	// Objective is the latency objective for the response, or for the first event
	// of a stream.
	Objective time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Anonymous routes require no key.
	Anonymous bool
}

// Retryable reports whether a request of the route may run again after an attempt
// with an unknown outcome.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// WeightedService is a service of a route and its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of equivalent targets.
type Service struct {
	Name string
	// Engine is set for services that run models.
	Engine *Engine
	// Store is set for a KV cache store. No route refers to such a service.
	Store *KVStore
}

// KVStore describes a store of KV cache blocks that all engines share.
type KVStore struct {
	Address          string
	AvailabilityZone string
	// MaxEventReaders is the maximum number of concurrent readers of the store's cache
	// events.
	MaxEventReaders int
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// CacheTokens is the capacity of one engine's KV cache in tokens.
	CacheTokens int
	// TokenBytes is the size of one cached token. LinkMbps is the rate at which KV
	// cache blocks are transferred from and to an engine; 0 if they cannot be fetched.
	TokenBytes float64
	LinkMbps   float64
	// MaxEventReaders is the maximum number of concurrent readers of one engine's cache
	// events.
	MaxEventReaders int
}

// ClientAccount is a customer. AccountDefinition adds its keys.
type ClientAccount struct {
	Name string
	// Priority is the rank of the account; 0 is the highest. If nil, only the route's
	// priority counts.
	Priority *int
	// Isolated accounts share no KV cache blocks with others.
	Isolated  bool
	Allotment Allotment
}

// Limits apply to the requests of all clients.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the head and the body of a request, HeaderTimeout
	// the time in which its head arrives, and IdleTimeout the time between two requests on one
	// connection. 0: not limited.
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the operator's configuration. It is immutable.
type Configuration struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// hasAccounts is set if the deployment has client accounts, even if there is none now.
	hasAccounts bool
	// accounts maps keys to accounts.
	accounts map[string]*ClientAccount
	// allotments holds the allotments that are limited, by AllotmentKey.
	allotments map[string]Allotment
	// isolated holds all names of accounts, and whether the account is isolated.
	isolated map[string]bool
	// sharedScope is the cache scope of the accounts that are not isolated.
	sharedScope string
	// routes holds the routes of each host, longest prefix first.
	routes map[string][]*Route
}

// Definition is the input from which New builds a Configuration.
type Definition struct {
	Version  int64
	Routes   []Route
	Services []Service
	// HasAccounts is set if the deployment has client accounts: requests then need a key,
	// also while there is no account.
	HasAccounts bool
	Accounts    []AccountDefinition
	Limits      Limits
}

// AccountDefinition is a client account with its keys.
type AccountDefinition struct {
	ClientAccount
	Keys []string
}

// New builds a Configuration.
func New(d Definition) *Configuration {
	c := &Configuration{Version: d.Version, Limits: d.Limits, hasAccounts: d.HasAccounts || len(d.Accounts) > 0,
		Services: map[string]*Service{}, routes: map[string][]*Route{}, accounts: map[string]*ClientAccount{}}
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
	c.isolated = isolation(d.Accounts)
	c.sharedScope = sharedScope(c.isolated)
	mergeAllotments(d.Accounts)
	c.allotments = map[string]Allotment{}
	for i := range d.Accounts {
		if a := &d.Accounts[i]; a.Allotment.Limited() {
			c.allotments[AllotmentKey(a.Name)] = a.Allotment
		}
		for _, key := range d.Accounts[i].Keys {
			if key != "" { // requests without a key must not match
				c.accounts[key] = &d.Accounts[i].ClientAccount
			}
		}
	}
	return c
}

// Route returns the route of the host with the longest prefix that matches the
// path, nil if there is none.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests of the route must carry a key.
func (c *Configuration) NeedsKey(r *Route) bool { return c.hasAccounts && !r.Anonymous }

// HasAccounts reports whether requests need keys, but for anonymous routes.
func (c *Configuration) HasAccounts() bool { return c.hasAccounts }

// Account returns the account to which the key belongs, nil if there is none.
func (c *Configuration) Account(key string) *ClientAccount { return c.accounts[key] }

// PickService selects the service for a request by weight; random is uniformly
// distributed over all uint64 values.
func (r *Route) PickService(random uint64) string {
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
	at := int(random % uint64(total))
	for _, s := range r.Services {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// MaxRank is the rank of the least urgent requests that targets support.
const MaxRank = 9

// ranksPerAccount is the number of route priorities that are distinguished within one
// account priority.
const ranksPerAccount = 3

// Rank returns the rank of a request on its target, where 0 is served first. It
// depends on the priority of the account, then on that of the route.
func Rank(r *Route, a *ClientAccount) int {
	rank := min(r.Priority, ranksPerAccount-1)
	if a != nil && a.Priority != nil {
		rank += ranksPerAccount * *a.Priority
	}
	return max(0, min(rank, MaxRank))
}
