// Package observe reads load reports and cache events of model engines within
// a fixed rate, whatever the number of targets.
package observe

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// loadReadsPerSecond lets a small site notice a restarted engine soon.
	loadReadsPerSecond = 4
	// fewTargets is the number of targets beyond which one load report a second
	// is read: at the planned size the control traffic of a router has a bound
	// of 2 KB/s, and a report takes about 470 bytes with its headers.
	fewTargets  = 64
	readTimeout = 2 * time.Second
)

// Targets takes what a target reports of itself.
type Targets interface {
	Observe(target string, inc port.Incarnation, weights string, coldStart time.Duration)
}

// Deps are what an Observer needs.
type Deps struct {
	Engine  port.Engine
	Source  config.Source
	Placer  placement.Placer
	Targets Targets
	Clock   port.Clock
	Logger  *slog.Logger
	// EventBytesPerSecond is the budget for reading cache events; 0 reads none.
	EventBytesPerSecond int
	// Router is the name of this router.
	Router string
}

// Observer reads one engine at a time, in turn.
type Observer struct {
	Deps
	turn  int
	steps int
	// targets are the engines of the snapshot.
	snapshot *config.Snapshot
	targets  []engineTarget
	events   *eventFollower
}

// New returns an Observer.
func New(d Deps) *Observer {
	return &Observer{Deps: d, events: newEventFollower(d.EventBytesPerSecond, d.Router)}
}

// Run reads until the context ends.
func (o *Observer) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second / loadReadsPerSecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			o.step(ctx)
		}
	}
}

// engineTarget is a target together with its pool.
type engineTarget struct {
	config.PoolTarget
	pool config.Pool
}

// step reads one load report, and cache events when the budget allows it.
func (o *Observer) step(ctx context.Context) {
	targets := o.engines()
	if len(targets) == 0 {
		return
	}
	if o.steps++; len(targets) <= fewTargets || o.steps%loadReadsPerSecond == 0 {
		o.readLoad(ctx, targets)
	}
	o.readEvents(ctx, targets)
}

func (o *Observer) readLoad(ctx context.Context, targets []engineTarget) {
	t := targets[o.turn%len(targets)]
	o.turn++
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report, err := o.Engine.Load(ctx, t.Address)
	if err != nil {
		o.Logger.Debug("load report not read", "target", t.Name, "error", err)
		return
	}
	coldStart := time.Duration(t.pool.ColdStartS) * time.Second
	o.Targets.Observe(t.Address, report.Incarnation, report.WeightsVersion, coldStart)
	o.Placer.ObserveLoad(o.Clock.Now(), t.Address, report)
}

// engines lists the engines of the configuration in force.
func (o *Observer) engines() []engineTarget {
	if current := o.Source.Current(); current != o.snapshot {
		o.snapshot, o.targets = current, engines(current)
	}
	return o.targets
}

// engines lists the targets of all engine pools; a target in two pools counts once.
func engines(s *config.Snapshot) []engineTarget {
	if s == nil {
		return nil
	}
	var out []engineTarget
	seen := map[string]bool{}
	for _, pool := range s.Pools {
		if pool.Kind != config.PoolEngine {
			continue
		}
		for _, t := range pool.Targets {
			if !seen[t.Address] {
				seen[t.Address] = true
				out = append(out, engineTarget{t, pool})
			}
		}
	}
	// Pools are in map order; a stable order gives each target its turn.
	sortByAddress(out)
	return out
}

func sortByAddress(targets []engineTarget) {
	slices.SortFunc(targets, func(a, b engineTarget) int { return strings.Compare(a.Address, b.Address) })
}
