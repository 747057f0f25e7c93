package gatewaysync

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against a router that vouches for a configuration which later ones have replaced,
// because the log cut its response: after an outage, and one with its records from such a
// router.
func TestCutReadIsNotTheNewest(t *testing.T) {
	const lag = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{limit: 3, latency: lag}
		log.add("config", "v 1")
		reader := newRevised(log)
		reader.HasFollowers = func() bool { return true }
		near := newRevised(log)
		near.Relay = func(ctx context.Context, stream string, from port.Offset) (port.Batch, bool, error) {
			b, err := reader.Records(ctx, stream, from, 0)
			return b, true, err
		}
		cutOff := newRevised(&fakeLog{down: true}, reader)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, f := range []*recorder{reader, near, cutOff} {
			go func() { _ = f.Run(ctx) }()
		}
		<-time.After(2 * time.Second)
		log.setDown(true)
		<-time.After(time.Second)
		var replaced time.Time // when the last configuration was written
		for v := 2; v <= 20; v++ {
			log.add("config", "v "+strconv.Itoa(v))
			replaced = time.Now()
		}
		<-time.After(8 * time.Second)
		log.setDown(false)
		for start := time.Now(); time.Since(start) < 10*time.Second; {
			for _, f := range []*recorder{reader, near, cutOff} {
				f.mu.Lock()
				value, verified := f.values["config"], f.verified
				f.mu.Unlock()
				if value != "v 20" && !verified.Before(replaced) {
					t.Fatalf("%s is vouched for as of %s after it was replaced", value, verified.Sub(replaced))
				}
			}
			<-time.After(10 * time.Millisecond)
		}
		for _, f := range []*recorder{reader, near, cutOff} {
			values, age := f.state()
			is.Equal(values["config"], "v 20")
			is.True(age < 4*time.Second)
		}
	})
}

// Guards against a router that never counts as up to date because the log grows while its
// cut responses are read, and one that pauses between them.
func TestVerifiedWhileTheLogGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{limit: 2, latency: 20 * time.Millisecond}
		log.add("config", "v 1")
		f := newRevised(log)
		f.Interval = time.Second
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = f.Run(ctx) }()
		<-time.After(time.Second)
		log.setDown(true)
		<-time.After(5 * time.Second)
		for v := range 100 {
			log.add("config", "v "+strconv.Itoa(v+2))
		}
		go func() {
			for v := 200; ctxtime.Sleep(ctx, 12*time.Millisecond) == nil; v++ {
				log.add("config", "v "+strconv.Itoa(v))
			}
		}()
		log.setDown(false)
		<-time.After(4 * time.Second)
		for range 100 {
			_, age := f.state()
			is.True(age < 3*time.Second)
			<-time.After(50 * time.Millisecond)
		}
	})
}

// Guards against any order of writes, cuts and outages in which a router vouches for a value
// that a later one had replaced by then.
func TestVerifiedValuesAreTheNewest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			log := &fakeLog{limit: rapid.IntRange(1, 4).Draw(rt, "limit"), latency: time.Duration(rapid.IntRange(0, 400).Draw(rt, "latency")) * time.Millisecond}
			written := map[string]time.Time{"v 1": time.Now()}
			log.add("config", "v 1")
			f := newRevised(log)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = f.Run(ctx) }()
			for v, steps := 1, rapid.IntRange(5, 40).Draw(rt, "steps"); steps > 0; steps-- {
				switch rapid.IntRange(0, 4).Draw(rt, "step") {
				case 0:
					log.setDown(rapid.Bool().Draw(rt, "down"))
				case 1, 2:
					for range rapid.IntRange(1, 6).Draw(rt, "writes") {
						v++
						log.add("config", "v "+strconv.Itoa(v))
						written["v "+strconv.Itoa(v)] = time.Now()
					}
				}
				<-time.After(time.Duration(rapid.IntRange(0, 900).Draw(rt, "pause")) * time.Millisecond)
				f.mu.Lock()
				value, verified := f.values["config"], f.verified
				f.mu.Unlock()
				n, _ := numbered("", []byte(value))
				next, replaced := written["v "+strconv.FormatInt(n.Number+1, 10)]
				if replaced && value != "" && verified.After(next) {
					rt.Errorf("%s is vouched for as of %s after it was replaced", value, verified.Sub(next))
					break
				}
			}
		})
	})
}
