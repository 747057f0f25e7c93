package main

import (
	"context"
	"sync"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
)

// cachedVMList wraps the platform's VM list and caches the addresses of the last
// snapshot, because marks of leaving targets carry VM names.
type cachedVMList struct {
	port.VMList
	// onList is called with each list; nil: it is not.
	onList func(port.VMSnapshot)

	mu        sync.Mutex
	addresses map[string]string
}

// List implements port.VMList.
func (l *cachedVMList) List(ctx context.Context) (port.VMSnapshot, error) {
	snapshot, err := l.VMList.List(ctx)
	if err != nil {
		return snapshot, err
	}
	addresses := make(map[string]string, len(snapshot.VMs))
	for _, vm := range snapshot.VMs {
		addresses[vm.Name] = vm.Address
	}
	l.mu.Lock()
	l.addresses = addresses
	l.mu.Unlock()
	if l.onList != nil {
		l.onList(snapshot)
	}
	return snapshot, nil
}

func (l *cachedVMList) addressOf(vm string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses[vm]
}

// leavingAddresses resolves marks of leaving targets to addresses. A mark carries
// the name of a VM, which the VM list resolves, or an address. If neither yields a
// configured address, the mark is matched by target name, but only if the name is
// unique: other teams may use the same name for another target.
func leavingAddresses(marks []port.TargetMark, addressOf func(vm string) string, s *config.Snapshot) map[string]bool {
	leaving := map[string]bool{}
	if len(marks) == 0 {
		return leaving
	}
	byName := map[string]string{}
	ambiguous := map[string]bool{}
	configured := map[string]bool{}
	for _, pool := range s.Pools {
		for _, t := range pool.Targets {
			configured[t.Address] = true
			if other, taken := byName[t.Name]; taken && other != t.Address {
				ambiguous[t.Name] = true
			}
			byName[t.Name] = t.Address
		}
	}
	for _, m := range marks {
		switch address := addressOf(m.Target); {
		case configured[address]:
			leaving[address] = true
		case configured[m.Target]:
			leaving[m.Target] = true
		case byName[m.Target] != "" && !ambiguous[m.Target]:
			leaving[byName[m.Target]] = true
		}
	}
	return leaving
}
