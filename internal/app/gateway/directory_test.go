package gateway

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against an entry or a report that was written before a target got new
// weights and takes the belief back, and against weights that outlive a restart.
func TestWeightsOfOneLifeNeverGoBack(t *testing.T) {
	is := is.New(t)
	clock := port.SystemClock{}
	d := NewDirectory(slog.New(slog.DiscardHandler), clock, placement.New(placement.Settings{}), time.Second)
	entry := func(version int, born int64) port.TargetEntry {
		return port.TargetEntry{ID: "e", Service: "llm", Address: "a", Weights: map[string]int{testModel: version}, Born: time.UnixMilli(born)}
	}
	version := func() int { return d.Service("llm")[0].Weights[testModel] }
	d.Put(entry(2, 1))
	d.learn("e", testModel, port.Answer{Weights: 3})
	is.Equal(version(), 3)
	d.Put(entry(2, 1))
	is.Equal(version(), 3)
	d.SetWeights("e", map[string]int{testModel: 2})
	is.Equal(version(), 3)
	d.SetWeights("e", map[string]int{testModel: 4})
	is.Equal(version(), 4)
	d.Put(entry(2, 5)) // it started again with the weights that it had before
	is.Equal(version(), 2)
	d.Put(entry(4, 1)) // a late entry of the earlier life
	is.Equal(version(), 2)
}

// Guards against targets that get their full share while they are slow after a start.
func TestColdTargetsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.Directory.Put(port.TargetEntry{ID: "e1", Service: "llm", Address: "llm-e1", Slots: 8, ColdFor: 30 * time.Second,
			Weights: map[string]int{testModel: 1}})
		w.Directory.Put(port.TargetEntry{ID: "e2", Service: "llm", Address: "llm-e2", Slots: 8, ColdFor: 30 * time.Second,
			Weights: map[string]int{testModel: 1}})
		_, _ = w.send(t.Context(), "check")
		is.Equal(w.targets.sent()[0].ExpectTarget, "e3")
	})
}
