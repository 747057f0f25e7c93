package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// Guards against a revoked key that is served while a router reads what it missed of the log,
// whose responses are cut at their size limit.
func TestGatewayServesNoRevokedKeyWhileItCatchesUp(t *testing.T) {
	is := is.New(t)
	s := newTestGateway(t, 2500)
	s.await("ready", s.ready)
	status := func(key string) int {
		response, _ := s.send("/book/", key, "")
		return response.StatusCode
	}
	s.log.SetFaults(platformtest.LogFaults{Busy: true})
	s.await("refusals", func() bool { return status("k1") == http.StatusServiceUnavailable })
	padding := strings.Repeat(" ", 200<<10)
	for version := 2; version <= 8; version++ {
		s.log.Configure(version, `["k1"`+padding+`]`)
	}
	s.log.Configure(9, `["k9"`+padding+`]`)
	s.log.SetFaults(platformtest.LogFaults{Delay: 300 * time.Millisecond})
	s.await("the newest key", func() bool {
		is.True(status("k1") != http.StatusOK)
		return status("k9") == http.StatusOK
	})
	is.Equal(status("k1"), http.StatusUnauthorized)
}
