package main

import (
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against a mark for one team's target that also excludes another team's
// target of the same name.
func TestLeavingAddresses(t *testing.T) {
	pool := func(name, address string) config.Pool {
		return config.Pool{Targets: []config.PoolTarget{{Name: name, Address: address}}}
	}
	snapshot := &config.Snapshot{Pools: map[config.Ref]config.Pool{
		{Team: "a", Name: "p"}: pool("gpu1", "10.0.0.1:80"),
		{Team: "b", Name: "p"}: pool("gpu1", "10.0.0.2:80"),
		{Team: "b", Name: "q"}: pool("gpu2", "10.0.0.3:80"),
	}}
	vms := map[string]string{"gpu1": "10.0.0.1:80", "vm7": "10.0.0.3:80", "gpu2": "vm-without-configured-address"}
	cases := map[string]struct {
		mark string
		vms  map[string]string
		want map[string]bool
	}{
		"listed under the shared name":     {"gpu1", vms, map[string]bool{"10.0.0.1:80": true}},
		"listed under another name":        {"vm7", vms, map[string]bool{"10.0.0.3:80": true}},
		"address":                          {"10.0.0.2:80", nil, map[string]bool{"10.0.0.2:80": true}},
		"shared name, not listed":          {"gpu1", nil, map[string]bool{}},
		"name of one target, not listed":   {"gpu2", nil, map[string]bool{"10.0.0.3:80": true}},
		"name of one target, other listed": {"gpu2", vms, map[string]bool{"10.0.0.3:80": true}},
		"unknown":                          {"gpu9", vms, map[string]bool{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := leavingAddresses([]port.TargetMark{{Target: c.mark}}, func(vm string) string { return c.vms[vm] }, snapshot)
			is.New(t).Equal(got, c.want)
		})
	}
}
