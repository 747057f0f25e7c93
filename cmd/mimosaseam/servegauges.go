package main

import (
	"expvar"
	"time"

	"mimosaseam.example/mimosaseam/internal/app/fleet"
	"mimosaseam.example/mimosaseam/internal/core/membudget"
	"mimosaseam.example/mimosaseam/internal/port"
)

// gauges is the state of a `serve` router published through expvar.
type gauges struct {
	Ready        bool        `json:"ready"`
	ConfigOffset port.Offset `json:"config_offset"`
	OpenRequests int         `json:"open_requests"`
	Quarantined  int         `json:"quarantined"`
	HoldsOrders  bool        `json:"holds_orders_lease"`
	// LogContactAgeS is the time since the last response of the platform log, in s.
	LogContactAgeS float64        `json:"log_contact_age_s"`
	Routers        map[string]int `json:"routers_by_state"`
	Circuits       map[string]int `json:"circuits_by_state"`
	Fleet          fleet.Stats    `json:"fleet"`
	// AttachedRouters are the routers attached to this one as the allocator of their accounts.
	AttachedRouters int `json:"allotment_attached_routers"`
	// ClientMemory is what is held for callers.
	ClientMemory membudget.Stats `json:"client_memory"`
	// OperatorMemory is what is held for the clients of each other port.
	OperatorMemory map[string]membudget.Stats `json:"operator_memory"`
}

// publishGauges publishes the state under /debug/vars.
func (n *serveNode) publishGauges() {
	expvar.Publish("mimosaseam_state", expvar.Func(func() any { return n.gauges() }))
}

func (n *serveNode) gauges() gauges {
	status := n.router.Status()
	g := gauges{
		Ready: n.Readiness().Ready, ConfigOffset: n.config.Applied(),
		OpenRequests: status.OpenRequests, Quarantined: status.Quarantined, HoldsOrders: n.orders.Holding(),
		Routers: map[string]int{}, Circuits: map[string]int{}, Fleet: n.fleet.Stats(), AttachedRouters: n.allotments.Attached(),
		ClientMemory: n.clients.Stats(), OperatorMemory: operatorMemory(n.admin),
	}
	for _, r := range n.fleet.Routers() {
		g.Routers[r.State.String()]++
	}
	for _, state := range status.Circuits {
		g.Circuits[string(state)]++
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	g.LogContactAgeS = time.Since(n.logContact).Seconds()
	if n.logContact.IsZero() {
		g.LogContactAgeS = time.Since(n.started).Seconds()
	}
	return g
}
