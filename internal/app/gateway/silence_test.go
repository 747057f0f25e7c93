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

// Guards against a frozen target that counts as one that left in order, and against an idle or
// busy one that counts as frozen.
func TestSilenceOfATarget(t *testing.T) {
	const atLeast = 2 * time.Second
	sent := func(d *Directory) { d.begin("d", nil) }
	event := func(d *Directory) { d.recordActivity("d", true) }
	failed := func(d *Directory) { d.end("d", 0, ratingBad) }
	for name, c := range map[string]struct {
		before []func(d *Directory)
		// meanwhile happens every 300 ms.
		meanwhile []func(d *Directory)
		silent    bool
	}{
		"idle":                        {},
		"answered":                    {before: []func(*Directory){sent, event, func(d *Directory) { d.end("d", time.Second, ratingGood) }}},
		"answered with an error":      {before: []func(*Directory){sent, event, failed}},
		"the client left":             {before: []func(*Directory){sent, func(d *Directory) { d.end("d", 0, ratingNone) }}},
		"sends events":                {before: []func(*Directory){sent}, meanwhile: []func(*Directory){event}},
		"answers others":              {before: []func(*Directory){sent, sent}, meanwhile: []func(*Directory){sent, event, func(d *Directory) { d.end("d", time.Second, ratingGood) }}},
		"refuses others":              {before: []func(*Directory){sent}, meanwhile: []func(*Directory){func(d *Directory) { d.observeStatement("d", d.targets["d"].incarnation, "r", port.TargetStatement{}) }}},
		"answers status requests":     {before: []func(*Directory){sent}, meanwhile: []func(*Directory){func(d *Directory) { d.ObserveStatus("d", nil) }}},
		"no answer":                   {before: []func(*Directory){sent}, silent: true},
		"no answer, timed out":        {before: []func(*Directory){sent, failed}, silent: true},
		"no more events":              {before: []func(*Directory){sent, event}, silent: true},
		"no answer to further ones":   {before: []func(*Directory){sent}, meanwhile: []func(*Directory){sent, failed}, silent: true},
		"reads from it fail":          {before: []func(*Directory){sent}, meanwhile: []func(*Directory){func(d *Directory) { d.recordActivity("d", false) }}, silent: true},
		"no answer to a single probe": {before: []func(*Directory){sent, event, failed, sent, failed}, silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := NewDirectory(slog.New(slog.DiscardHandler), port.SystemClock{}, placement.New(placement.Settings{}), time.Second)
				d.Put(port.TargetEntry{ID: "d", Service: "desk", Address: "a"})
				for _, do := range c.before {
					do(d)
				}
				is.True(!d.IsSilent("d", atLeast))
				for range 8 {
					time.Sleep(300 * time.Millisecond)
					for _, do := range c.meanwhile {
						do(d)
					}
				}
				is.Equal(d.IsSilent("d", atLeast), c.silent)
			})
		})
	}
}
