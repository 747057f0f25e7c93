package main

import (
	"expvar"
	"time"

	"mimosaseam.example/mimosaseam/internal/app/allotments"
	"mimosaseam.example/mimosaseam/internal/app/gateway"
	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/settings"
)

// buildAllotments builds what charges the client accounts. The bounds are fixed at the start:
// tokens handed out under older ones would outlive them.
func (n *gatewayNode) buildAllotments(metrics gateway.Metrics) {
	b := n.settings.Bounds
	n.allotments = allotments.New(allotments.Options{
		Self: n.settings.VM.Name, Incarnation: uint64(time.Now().UnixNano()), Clock: n.bootClock, Peer: n.peerClient,
		Settings: allotment.Settings{Window: settings.Seconds(b.AllotmentWindowS), OverRatio: b.AllotmentOverRatio, OverSlack: b.AllotmentOverSlack},
		Limits:   func(key allotment.Key) (allotment.Limit, bool) { return n.gateway.AllotmentLimit(key) },
		Enabled:  func() bool { c := n.gateway.Configuration(); return c != nil && len(c.Allotments()) > 0 },
		Logger:   n.log, Metrics: metrics,
	})
}

// publishGauges publishes the state under /debug/vars.
func (n *gatewayNode) publishGauges() {
	expvar.Publish("gateway_state", expvar.Func(func() any {
		return map[string]int{"allotment_attached_routers": n.allotments.Attached()}
	}))
}
