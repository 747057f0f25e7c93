package gatewaysync

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// cutAt cuts a batch to n records, as a router does at the size limit of a response.
func cutAt(b port.Batch, n int) port.Batch {
	if len(b.Records) > n {
		b.Next, b.Records = b.Records[n].Offset, b.Records[:n]
	}
	return b
}

// Guards against records that a router misses, or counts as the newest, because the response
// of the router from which it reads was cut: while that one reads the log for it, and while
// the log is away.
func TestCutResponseOfAPeer(t *testing.T) {
	const keys, limit = 40, 3
	for name, relayed := range map[string]bool{"relayed": true, "log away": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log, own := &fakeLog{}, &fakeLog{}
				for _, l := range []*fakeLog{log, own} {
					l.add("key 0", "v 0")
				}
				reader := newRevised(log)
				reader.HasFollowers = func() bool { return true }
				f := newRevised(own)
				pull := func(ctx context.Context, stream string, from port.Offset) (port.Batch, bool, error) {
					b, err := reader.Records(ctx, stream, from, 0)
					return cutAt(b, limit), true, err
				}
				f.Peers = func(ctx context.Context, stream string, from port.Offset) []port.Batch {
					b, _, err := pull(ctx, stream, from)
					if err != nil {
						return nil
					}
					return []port.Batch{b}
				}
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = reader.Run(ctx) }()
				is.NoErr(f.read(ctx))
				own.setDown(true)
				log.setDown(true)
				<-time.After(5 * time.Second)
				for i := range keys {
					log.add(fmt.Sprint("key ", i), "v 1")
				}
				written := time.Now()
				log.setDown(false)
				<-time.After(2 * time.Second)
				if relayed {
					f.Relay = pull
				}
				go func() { _ = f.Run(ctx) }()
				for range 2000 {
					f.mu.Lock()
					known, verified := 0, f.verified
					for _, value := range f.values {
						if value == "v 1" {
							known++
						}
					}
					f.mu.Unlock()
					if known < keys && verified.After(written) {
						t.Errorf("%d of %d records count as all", known, keys)
						break
					}
					<-time.After(5 * time.Millisecond)
				}
				values, age := f.state()
				is.Equal(len(values), keys)
				is.True(age < 4*time.Second)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a starting router that takes a part of what another one knows for all of it.
func TestCutResponseDoesNotConfirmARestoredLog(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{}
	log.add("config", "v 1")
	log.restore(1)
	f := newRevised(log)
	f.Peers = func(context.Context, string, port.Offset) []port.Batch {
		return []port.Batch{{Records: []port.Record{{Offset: 1, ID: "weights", Data: []byte("w 1")}}, Next: 2, End: 3}}
	}
	f.Wait = 0
	is.NoErr(f.read(t.Context()))
	is.True(f.verified.IsZero())
}

// Guards against requests without a pause to a router whose cut responses lead no further.
func TestCutResponsesThatLeadNoFurther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		log.add("config", "v 1")
		f := newRevised(log)
		var pulls atomic.Int64
		f.Relay = func(_ context.Context, _ string, from port.Offset) (port.Batch, bool, error) {
			if pulls.Add(1) > 1000 {
				return port.Batch{}, false, nil
			}
			return port.Batch{Next: from, End: from + 1}, true, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		<-time.After(10 * time.Second)
		is.True(pulls.Load() < 50)
		cancel()
		synctest.Wait()
	})
}
