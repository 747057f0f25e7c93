package main

import (
	"context"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// Guards against a limit of the configuration that does not act, a refusal with another status
// than 429 or without the time to come back, and accounts that share a limit.
func TestGatewayRefusesOverTheAllotment(t *testing.T) {
	is := is.New(t)
	s := newTestGateway(t, 60_000)
	s.log.ConfigureAccounts(2, platformtest.ClientAccount{Name: "limited", Key: "k1", RatePerS: 0.01, Burst: 1},
		platformtest.ClientAccount{Name: "free", Key: "k2"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.node.allotments.Run(ctx) }()
	s.await("configuration", func() bool { c := s.node.gateway.Configuration(); return c != nil && c.Version == 2 && s.ready() })
	response, _ := s.send(platformtest.BookPath, "k1", "x")
	is.Equal(response.StatusCode, http.StatusTooManyRequests) // not listed yet
	response, _ = s.send(platformtest.BookPath, "k2", "x")
	is.Equal(response.StatusCode, http.StatusOK)
	s.node.allotments.RouterListed(true, 1)
	response, text := s.send(platformtest.BookPath, "k1", "x")
	is.Equal(response.StatusCode, http.StatusTooManyRequests)
	is.Equal(text, "over allotment\n")
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds > 0)
	is.Equal(len(s.service.Runs()), 1) // of the account without a limit
	s.log.ConfigureAccounts(3, platformtest.ClientAccount{Name: "limited", Key: "k1", RatePerS: 1000, Burst: 1000})
	s.await("request within the limit", func() bool {
		response, _ := s.send(platformtest.BookPath, "k1", "x")
		return response.StatusCode == http.StatusOK
	})
}
