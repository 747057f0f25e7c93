package gateway

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/port"
)

// isolating returns the test configuration with the account of the key isolated, or without it.
func isolating(version int64, ended bool) *gatewayconfig.Configuration {
	accounts := []gatewayconfig.AccountDefinition{{ClientAccount: gatewayconfig.ClientAccount{Name: "a", Isolated: true}, Keys: []string{"key"}}}
	if ended {
		accounts = nil
	}
	return configurationWith(version, append(accounts, gatewayconfig.AccountDefinition{ClientAccount: gatewayconfig.ClientAccount{Name: "b"}, Keys: []string{"other"}}))
}

// Guards against a request that uses the cache scope of others although its account was
// isolated, or has ended, while it waited for its next attempt.
func TestScopeFollowsTheConfigurationInForce(t *testing.T) {
	for name, ended := range map[string]bool{"isolated": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t)
				w.SetConfiguration(configurationWith(2, []gatewayconfig.AccountDefinition{
					{ClientAccount: gatewayconfig.ClientAccount{Name: "a"}, Keys: []string{"key"}}, {ClientAccount: gatewayconfig.ClientAccount{Name: "b"}, Keys: []string{"other"}}}))
				shared := "v1/" + w.Configuration().CacheScope(nil)
				w.targets.react = func(string, port.Forward) reply {
					if w.Configuration().Version > 2 {
						return reply{status: 200, body: "id: 1\n\n"}
					}
					w.SetConfiguration(isolating(3, ended))
					return reply{err: &port.NotRunError{Reason: port.NotRunDeclared}}
				}
				_, err := w.send(t.Context(), "check")
				is.NoErr(err)
				sent := w.targets.sent()
				is.Equal(len(sent), 2)
				is.Equal(sent[0].CacheScope, shared)
				is.True(sent[1].CacheScope != shared)
				is.True(sent[1].CacheScope != "v1/"+w.Configuration().CacheScope(nil))
			})
		})
	}
}
