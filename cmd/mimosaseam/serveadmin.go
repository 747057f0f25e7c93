package main

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/adapter/adminhttp"
	"mimosaseam.example/mimosaseam/internal/app/completions"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// offsetQueryTimeout bounds the query of one router for its configuration offset.
	offsetQueryTimeout = time.Second
	// maxOffsetQueries bounds the routers queried concurrently.
	maxOffsetQueries = 32
)

// Readiness implements adminhttp.Backend.
func (n *serveNode) Readiness() adminhttp.Readiness {
	n.mu.Lock()
	draining := n.draining
	n.mu.Unlock()
	if draining {
		return adminhttp.Readiness{Reason: "stopping"}
	}
	if !closed(n.config.Ready()) {
		return adminhttp.Readiness{Reason: "the configuration has not been read from the log or from a peer"}
	}
	if !closed(n.joined) {
		return adminhttp.Readiness{Reason: "waiting for the hot prefixes of a peer"}
	}
	return adminhttp.Readiness{Ready: true}
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Status implements adminhttp.Backend.
func (n *serveNode) Status() adminhttp.Status {
	s := n.settings
	routerStatus := n.router.Status()
	status := adminhttp.Status{
		VM: s.VM.Name, Region: s.VM.Region, AvailabilityZone: s.VM.AvailabilityZone,
		Version: version, StartedAt: n.started, Readiness: n.Readiness(), ConfigOffset: n.config.Applied(),
		BudgetTokens: routerStatus.BudgetTokens, Quarantined: routerStatus.Quarantined,
		Targets: n.targetStatus(routerStatus),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	status.LogContact = n.logContact
	for _, r := range n.fleet.Routers() {
		status.Peers = append(status.Peers, adminhttp.Peer{
			Name: r.Name, Address: r.Address, Region: r.Region, AvailabilityZone: r.AvailabilityZone,
			State: r.State.String(), ConfigOffset: n.offsets[r.Name],
		})
	}
	return status
}

func (n *serveNode) targetStatus(s completions.Status) []adminhttp.Target {
	inFlight := n.placer.InFlight()
	var out []adminhttp.Target
	for ref, pool := range n.config.Current().Pools {
		for _, t := range pool.Targets {
			state := n.targets.State(t.Address)
			out = append(out, adminhttp.Target{
				Pool: ref.String(), Name: t.Name, Address: t.Address, Region: t.Region,
				Incarnation: string(state.Incarnation), Circuit: string(s.Circuits[t.Address]),
				Leaving: state.Leaving, InFlight: inFlight[t.Address],
			})
		}
	}
	slices.SortFunc(out, func(a, b adminhttp.Target) int {
		return cmp.Or(strings.Compare(a.Pool, b.Pool), strings.Compare(a.Name, b.Name))
	})
	return out
}

// Applied implements adminhttp.Backend: it queries every router that may be running.
func (n *serveNode) Applied(ctx context.Context, offset port.Offset) adminhttp.Applied {
	result := adminhttp.Applied{Offset: offset}
	note := func(name string, applied bool) {
		if applied {
			result.InForce = append(result.InForce, name)
		} else {
			result.Lagging = append(result.Lagging, name)
		}
	}
	note(n.settings.VM.Name, n.config.Applied() >= offset)
	routers := slices.DeleteFunc(n.fleet.Routers(), func(r membership.Router) bool {
		return r.State == port.MemberDead && !r.Listed
	})
	results := make([]bool, len(routers))
	slots := make(chan struct{}, maxOffsetQueries)
	var queries sync.WaitGroup
	for i, r := range routers {
		queries.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = n.queryOffset(ctx, r.Address) >= offset
		})
	}
	queries.Wait()
	for i, r := range routers {
		note(r.Name, results[i])
	}
	return result
}

func (n *serveNode) queryOffset(ctx context.Context, address string) port.Offset {
	ctx, cancel := context.WithTimeout(ctx, offsetQueryTimeout)
	defer cancel()
	response, err := n.peers.Exchange(ctx, address, port.PeerExchange{From: n.fleet.Self(), ConfigOffset: n.config.Applied()})
	if err != nil {
		return 0
	}
	return response.ConfigOffset
}

// Explain implements adminhttp.Backend.
func (n *serveNode) Explain(ctx context.Context, r adminhttp.ExplainRequest) (any, error) {
	team, name, _ := strings.Cut(r.ClientAccount, "/")
	return n.router.Explain(ctx, completions.CompletionRequest{
		Account: config.Ref{Team: team, Name: name}, Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens,
	})
}
