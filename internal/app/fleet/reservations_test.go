package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/retry"
)

// Guards against crash suspects of two routers that run on one target concurrently.
func TestOneSuspectOnATarget(t *testing.T) {
	inBubble(t, routers, func(t *testing.T, net *network) {
		is := is.New(t)
		for i := range 20 {
			target := fmt.Sprint("e", i)
			granted := make(chan bool, routers)
			for r := range routers {
				go func() { granted <- net.router(r).Reserve(target, retry.Fingerprint(r+1)) }()
			}
			n := 0
			for range routers {
				if <-granted {
					n++
				}
			}
			is.True(n <= 1)
		}
	})
}

// Guards against a target that stays reserved after its suspect ended, or after the
// router that reserved it failed.
func TestSuspectReleasesTheTarget(t *testing.T) {
	inBubble(t, routers, func(t *testing.T, net *network) {
		is := is.New(t)
		is.True(net.router(0).Reserve("e1", 1))
		is.True(!net.router(1).Reserve("e1", 2))
		net.router(0).Release("e1", 1)
		<-time.After(time.Second)
		synctest.Wait()
		is.True(net.router(1).Reserve("e1", 2))
		net.kill(1)
		<-time.After(6 * time.Second)
		is.True(net.router(2).Reserve("e1", 3))
	})
}

// Guards against requests that wait for unreachable routers.
func TestSuspectRunsWhenNoRouterResponds(t *testing.T) {
	inBubble(t, routers, func(t *testing.T, net *network) {
		is := is.New(t)
		net.setFault(func(string, string) fault { return silent })
		begun := time.Now()
		is.True(net.router(0).Reserve("e1", 1))
		is.True(time.Since(begun) <= reserveTimeout)
	})
}
