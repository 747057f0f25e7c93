package gateway

import (
	"maps"
	"time"
)

// mergeWeights merges the weights versions reported by one incarnation of a target, as far as
// it is not known when they were reported: entries and announcements may be older than
// responses.
func mergeWeights(known, reported map[string]int) map[string]int {
	out := maps.Clone(known)
	if out == nil {
		out = map[string]int{}
	}
	for model, version := range reported {
		out[model] = max(out[model], version)
	}
	return out
}

// onWeightsChange drops the cache state and ends the pause of a target whose weights differ
// from before.
func (d *Directory) onWeightsChange(t *Target, before map[string]int) {
	if maps.Equal(t.Weights, before) {
		return
	}
	for model, version := range t.Weights {
		if version > before[model] {
			t.sawWeights(model, d.clock.Now()) // reports that are on their way may be older
		}
	}
	d.placer.DropCache(t.Address)
	t.PausedUntil = time.Time{}
	d.log.Info("target weights", "target", t.ID, "weights", t.Weights, "before", before)
}

const (
	// maxModels and maxModelBytes bound the models of a target that are learned from its
	// responses: clients choose the names in their requests.
	maxModels     = 64
	maxModelBytes = 256
)

// observeWeights records the version that a target reported at that time or later. A smaller
// version than the known one counts only if the target reported the known one before: an order
// that is carried out late after a restart brings back older weights.
func (d *Directory) observeWeights(t *Target, model string, version int, reported time.Time) {
	known, listed := t.Weights[model]
	if !listed && (len(t.Weights) >= maxModels || len(model) > maxModelBytes) {
		return
	}
	if version <= 0 || model == "" || version < known && !reported.After(t.weightsSeen[model]) {
		return
	}
	if reported.After(t.weightsSeen[model]) {
		t.sawWeights(model, reported)
	}
	if version == known {
		return
	}
	before := t.Weights
	t.Weights = maps.Clone(before)
	if t.Weights == nil {
		t.Weights = map[string]int{}
	}
	t.Weights[model] = version
	d.onWeightsChange(t, before)
}

func (t *Target) sawWeights(model string, at time.Time) {
	if t.weightsSeen == nil {
		t.weightsSeen = map[string]time.Time{}
	}
	t.weightsSeen[model] = at
}

// ObserveWeights records the version that a target reported in response to a request that was
// sent at that time. It reports whether the known version has changed.
func (d *Directory) ObserveWeights(id, model string, version int, sent time.Time) (changed bool) {
	d.update(id, func(t *Target) {
		before := t.Weights[model]
		d.observeWeights(t, model, version, sent)
		changed = t.Weights[model] != before
	})
	return changed
}

// statusAge bounds the age of what a target's status report says.
const statusAge = 1500 * time.Millisecond

// ObserveStatus records the versions in a target's status report.
func (d *Directory) ObserveStatus(id string, weights map[string]int) {
	now := d.clock.Now()
	reported := now.Add(-statusAge)
	d.update(id, func(t *Target) {
		t.exchange.received(now)
		for model, version := range weights {
			d.observeWeights(t, model, version, reported)
		}
	})
}

// SetWeights records versions that a target is announced to serve at least.
func (d *Directory) SetWeights(id string, weights map[string]int) {
	d.update(id, func(t *Target) {
		before := t.Weights
		t.Weights = mergeWeights(before, weights)
		d.onWeightsChange(t, before)
	})
}
