package main

import (
	"context"
	"sync"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
)

// listedVMs is the platform's VM list, and remembers the addresses of the last
// one read: marks of leaving targets carry the names of VMs.
type listedVMs struct {
	port.VMList

	mu        sync.Mutex
	addresses map[string]string
}

// List implements port.VMList.
func (l *listedVMs) List(ctx context.Context) (port.VMSnapshot, error) {
	snapshot, err := l.VMList.List(ctx)
	if err != nil {
		return snapshot, err
	}
	addresses := make(map[string]string, len(snapshot.VMs))
	for _, vm := range snapshot.VMs {
		addresses[vm.Name] = vm.Address
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = addresses
	return snapshot, nil
}

func (l *listedVMs) addressOf(vm string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses[vm]
}

// leavingAddresses finds the targets that the marks mean. A mark names a VM,
// whose address the VM list has, or carries an address itself. Where neither is
// an address of the configuration, the mark means the target of that name, but
// only when one address has it: other teams may use the name for another target.
func leavingAddresses(marks []port.TargetMark, addressOf func(vm string) string, s *config.Snapshot) map[string]bool {
	leaving := map[string]bool{}
	if len(marks) == 0 {
		return leaving
	}
	named := map[string]string{}
	ambiguous := map[string]bool{}
	known := map[string]bool{}
	for _, pool := range s.Pools {
		for _, t := range pool.Targets {
			known[t.Address] = true
			if other, taken := named[t.Name]; taken && other != t.Address {
				ambiguous[t.Name] = true
			}
			named[t.Name] = t.Address
		}
	}
	for _, m := range marks {
		switch address := addressOf(m.Target); {
		case known[address]:
			leaving[address] = true
		case known[m.Target]:
			leaving[m.Target] = true
		case named[m.Target] != "" && !ambiguous[m.Target]:
			leaving[named[m.Target]] = true
		}
	}
	return leaving
}
