// Package observe reads load reports and cache events of model engines at a bounded
// rate, regardless of the number of targets.
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
	// loadReadsPerSecond is high enough for a small site to detect a restarted
	// engine soon.
	loadReadsPerSecond = 4
	// maxTargetsAtFullRate is the number of targets above which only one load
	// report per second is read: at the planned size, the control traffic of a
	// router is limited to 2 KB/s, and a report with its headers takes about 470
	// bytes.
	maxTargetsAtFullRate = 64
	readTimeout          = 2 * time.Second
)

// Targets receives the incarnation and weights version that a target reports.
type Targets interface {
	Observe(target string, inc port.Incarnation, weights string, coldStart time.Duration)
}

// Deps holds the dependencies of an Observer.
type Deps struct {
	Engine  port.Engine
	Source  config.Source
	Placer  placement.Placer
	Targets Targets
	Clock   port.Clock
	Logger  *slog.Logger
	// EventBytesPerSecond is the budget for reading cache events; 0 disables it.
	EventBytesPerSecond int
	// Router is the name of this router.
	Router string
}

// Observer polls the engines one at a time, in round-robin order.
type Observer struct {
	Deps
	nextTarget int
	steps      int
	// targets lists the engines of snapshot.
	snapshot *config.Snapshot
	targets  []engineTarget
	events   *eventReader
}

func New(d Deps) *Observer {
	return &Observer{Deps: d, events: newEventReader(d.EventBytesPerSecond, d.Router)}
}

// Run polls the engines until the context ends.
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

// step reads one load report and, if the budget allows it, the cache events of one
// target.
func (o *Observer) step(ctx context.Context) {
	targets := o.engines()
	if len(targets) == 0 {
		return
	}
	if o.steps++; len(targets) <= maxTargetsAtFullRate || o.steps%loadReadsPerSecond == 0 {
		o.readLoad(ctx, targets)
	}
	o.readEvents(ctx, targets)
}

func (o *Observer) readLoad(ctx context.Context, targets []engineTarget) {
	t := targets[o.nextTarget%len(targets)]
	o.nextTarget++
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report, err := o.Engine.Load(ctx, t.Address)
	if err != nil {
		o.Logger.Debug("failed to read load report", "target", t.Name, "error", err)
		return
	}
	coldStart := time.Duration(t.pool.ColdStartS) * time.Second
	o.Targets.Observe(t.Address, report.Incarnation, report.WeightsVersion, coldStart)
	o.Placer.ObserveLoad(o.Clock.Now(), t.Address, report)
}

// engines returns the engines of the current configuration.
func (o *Observer) engines() []engineTarget {
	if current := o.Source.Current(); current != o.snapshot {
		o.snapshot, o.targets = current, engines(current)
	}
	return o.targets
}

// engines returns the targets of all engine pools. A target in two pools is listed
// once.
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
	// Pools are in random map order; round-robin polling needs a stable order.
	sortByAddress(out)
	return out
}

func sortByAddress(targets []engineTarget) {
	slices.SortFunc(targets, func(a, b engineTarget) int { return strings.Compare(a.Address, b.Address) })
}
