package main

import (
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// Guards against cached prompt parts of an account that others use once it is isolated or has
// ended, at a router that saw the change and at one that started later.
func TestGatewayKeepsIsolatedAccountsApart(t *testing.T) {
	is := is.New(t)
	one, two := platformtest.ClientAccount{Name: "one", Key: "k1"}, platformtest.ClientAccount{Name: "two", Key: "k2"}
	isolated := one
	isolated.Isolated = true
	s := newTestGateway(t, 60_000)
	s.await("ready", s.ready)
	version := 1
	configure := func(accounts ...platformtest.ClientAccount) {
		version++
		s.log.ConfigureAccounts(version, accounts...)
		s.await("the configuration", func() bool { return s.node.gateway.Configuration().Version == int64(version) })
	}
	ask := func(keys ...string) {
		for _, key := range keys {
			response, _ := s.send("/check/", key, "")
			is.Equal(response.StatusCode, http.StatusOK)
		}
	}
	uses := func() []string { return platformtest.SharedParts(s.engine.Runs()) }
	configure(one, two)
	ask("k1", "k2")
	is.Equal(uses(), []string{"two one"}) // while both share, no prompt is read twice
	configure(isolated, two)
	ask("k1", "k2")
	is.Equal(len(uses()), 1)
	s.start(s.node.file, s.node.settings)
	s.await("ready", s.ready)
	ask("k2", "k1")
	configure(two)
	ask("k2")
	is.Equal(len(uses()), 1)
	configure(isolated, two)
	ask("k1", "k2")
	configure(two)
	ask("k2")
	is.Equal(len(uses()), 1)
	configure(one, two)
	ask("k2", "k1")
	is.True(slices.Contains(uses()[1:], "one two") || slices.Contains(uses()[1:], "two one"))
}

// Guards against a router that serves any key, or none, once the last account has ended, also
// if it starts after that.
func TestGatewayWithoutAccountsServesNoKey(t *testing.T) {
	is := is.New(t)
	s := newTestGateway(t, 60_000)
	s.await("ready", s.ready)
	response, _ := s.send("/book/", "k1", "")
	is.Equal(response.StatusCode, http.StatusOK)
	s.log.ConfigureAccounts(2)
	s.await("the configuration", func() bool { return s.node.gateway.Configuration().Version == 2 })
	refuses := func() {
		for _, key := range []string{"k1", "never", ""} {
			response, _ := s.send("/book/", key, "")
			is.Equal(response.StatusCode, http.StatusUnauthorized)
		}
	}
	refuses()
	s.start(s.node.file, s.node.settings)
	s.await("ready", s.ready)
	refuses()
	is.Equal(len(s.service.Runs()), 1)
}
