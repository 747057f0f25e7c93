package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against a zone in which no router or every router reads the log, and against
// routers that keep pulling from a reader that has stopped.
func TestReadersOfAZone(t *testing.T) {
	inBubble(t, routers, func(t *testing.T, net *network) {
		is := is.New(t)
		count := func() (n int) {
			for i := range routers {
				if f := net.router(i); f != nil && f.IsReader() {
					n++
				}
			}
			return n
		}
		is.Equal(count(), readersPerZone) // all routers of the test are in one zone
		_, ok, err := net.router(5).PullFromReader(context.Background(), port.StreamTargets, 1, 10)
		is.True(ok)
		is.True(err != nil) // these routers retain no records
		net.kill(0)
		<-time.After(20 * time.Second)
		is.Equal(count(), readersPerZone)
		is.True(net.router(2).IsReader())
		// Too few routers remain for some to read on behalf of the others.
		for _, i := range []int{1, 2} {
			net.kill(i)
		}
		<-time.After(20 * time.Second)
		is.Equal(count(), 0)
		_, ok, _ = net.router(6).PullFromReader(context.Background(), port.StreamTargets, 1, 10)
		is.True(!ok)
	})
}
