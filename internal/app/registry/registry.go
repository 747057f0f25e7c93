// Package registry implements service discovery between routers: each one writes its own
// entry to the platform's log and reads those of the others.
package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// retryBase is the mean pause after a failed write of the entry.
	retryBase = 500 * time.Millisecond
	// historyInterval is the mean time between two checks whether the log has lost the entry.
	// It also spreads the writes of all routers after a restore.
	historyInterval = time.Second
	// removeTimeout bounds the removal of the entry at a planned shutdown.
	removeTimeout = time.Second
)

// Log is the part of the platform's log that the registry needs.
type Log interface {
	port.KeyedLog
	port.KeyedWriter
	// History returns the newest history of the log that is known.
	History() port.History
}

// Registry implements port.VMList for routers.
type Registry struct {
	// OnListed is called once when the entry is written, with whether there was one of the
	// same name before, and the number of routers that had an entry, this one included.
	OnListed func(existed bool, routers int)

	log    Log
	self   port.VM
	logger *slog.Logger

	// mu is held while the entry is written. removed is set once it must not be any more.
	mu      sync.Mutex
	removed bool

	// entry is what was written, nil before the first write and after the removal.
	entry atomic.Pointer[[]byte]
	// replaced is set once the log was seen without the entry.
	replaced atomic.Bool
}

// New returns a registry for the router.
func New(log Log, self port.VM, logger *slog.Logger) *Registry {
	self.Role, self.State = port.RoleRouter, port.VMLive
	return &Registry{log: log, self: self, logger: logger}
}

// Run writes the router's entry until the context ends: once, and again whenever the log
// returned from an older copy, which may lack it, or was seen without it: a removal by an
// earlier start of the router may be executed late.
func (r *Registry) Run(ctx context.Context) error {
	text, err := json.Marshal(r.self)
	if err != nil {
		return eris.Wrap(err, "encode router entry")
	}
	existed, routers, lookErr := r.look(ctx)
	for writes := 1; ; writes++ {
		history, begun := r.log.History(), time.Now()
		if err := r.write(ctx, text); err != nil {
			return err
		}
		if writes == 1 {
			if err := r.reportListed(ctx, existed, routers, lookErr); err != nil {
				return err
			}
		}
		for r.log.History() == history && !r.replaced.Load() {
			if err := ctxtime.Sleep(ctx, time.Duration((0.5+rand.Float64())*float64(historyInterval))); err != nil {
				return err
			}
		}
		if writes == 1 && history == 0 && time.Since(begun) < historyInterval {
			continue // the first response told the history, which was unknown before
		}
		if r.replaced.Swap(false) {
			r.logger.Warn("router entry replaced", "router", r.self.Name)
			continue
		}
		r.logger.Warn("log history changed", "stream", port.StreamRouters, "old", history, "new", r.log.History())
	}
}

// look reports whether the log holds an entry of this router's name, and the number of
// routers with it.
func (r *Registry) look(ctx context.Context) (existed bool, routers int, err error) {
	list, err := r.List(ctx)
	if err != nil {
		return false, 0, err
	}
	existed = slices.ContainsFunc(list.VMs, func(vm port.VM) bool { return vm.Name == r.self.Name })
	routers = len(list.VMs)
	if !existed {
		routers++
	}
	return existed, routers, nil
}

// reportListed calls OnListed. If the entries could not be read before the own one was
// written, that one counts as new.
func (r *Registry) reportListed(ctx context.Context, existed bool, routers int, err error) error {
	for err != nil {
		if err := ctxtime.Sleep(ctx, time.Duration((0.5+rand.Float64())*float64(retryBase))); err != nil {
			return err
		}
		if _, routers, err = r.look(ctx); err != nil {
			r.logger.Info("router entries not read", "error", err.Error())
		}
	}
	if r.OnListed != nil {
		r.OnListed(existed, routers)
	}
	return nil
}

// write writes the entry and returns when it is written or the context ends. The write is
// idempotent, so that it is also retried after an unknown outcome.
func (r *Registry) write(ctx context.Context, text []byte) error {
	for {
		err := r.put(ctx, text)
		if err == nil {
			return nil
		}
		r.logger.Info("router entry not written", "error", err.Error())
		if err := ctxtime.Sleep(ctx, time.Duration((0.5+rand.Float64())*float64(retryBase))); err != nil {
			return err
		}
	}
}

// put writes the entry unless it was removed.
func (r *Registry) put(ctx context.Context, text []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.removed {
		return nil
	}
	if err := r.log.Put(ctx, port.StreamRouters, r.self.Name, text); err != nil {
		return err
	}
	r.entry.Store(&text)
	return nil
}

// Remove removes the router's entry, which is not written again.
func (r *Registry) Remove(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed = true
	r.entry.Store(nil)
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	if err := r.log.Put(ctx, port.StreamRouters, r.self.Name, nil); err != nil {
		r.logger.Info("router entry not removed", "error", err.Error())
	}
}

// checkOwn looks for the written entry among the records.
func (r *Registry) checkOwn(records []port.KeyedRecord) {
	written := r.entry.Load()
	if written == nil {
		return
	}
	isListed := slices.ContainsFunc(records, func(record port.KeyedRecord) bool {
		return record.Key == r.self.Name && bytes.Equal(record.Value, *written)
	})
	r.replaced.Store(!isListed)
}

// List implements port.VMList. Entries that cannot be decoded, or that no router has written
// under its own name, are left out.
func (r *Registry) List(ctx context.Context) (port.VMSnapshot, error) {
	batch, err := r.log.Newest(ctx, port.StreamRouters)
	if err != nil {
		return port.VMSnapshot{}, err
	}
	r.checkOwn(batch.Records)
	var out port.VMSnapshot
	for _, record := range batch.Records {
		var vm port.VM
		if err := json.Unmarshal(record.Value, &vm); err != nil || vm.Address == "" || vm.Name != record.Key || vm.Role != port.RoleRouter {
			r.logger.Info("router entry not usable", "key", record.Key)
			continue
		}
		out.VMs = append(out.VMs, vm)
	}
	return out, nil
}
