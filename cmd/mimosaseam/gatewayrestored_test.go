package main

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// Guards against a router that misses weights or a configuration because
// the log returned from an older copy.
func TestGatewayFollowsARestoredLog(t *testing.T) {
	is := is.New(t)
	s := newTestGateway(t, 60_000)
	s.await("ready", s.ready)
	copied := s.log.Now()
	s.log.Configure(2, `["k2"]`)
	s.log.SetDesiredWeights(2)
	s.await("the first weights", func() bool { return s.engine.Version() == 2 })
	accepts := func(key string) func() bool {
		return func() bool { a, _ := s.send("/book/", key, ""); return a.StatusCode == http.StatusOK }
	}
	s.await("the new key", accepts("k2"))
	s.log.SetFaults(platformtest.LogFaults{Busy: true})
	s.log.Restore(copied)
	s.log.SetDesiredWeights(3) // in the place of a lost record
	s.log.Configure(2, `["k2"]`)
	s.log.Configure(3, `["k3"]`)
	s.log.SetFaults(platformtest.LogFaults{})
	s.await("the newest key", accepts("k3"))
	s.await("the next weights", func() bool { return s.engine.Version() == 3 })
	is.True(!accepts("k2")())
}
