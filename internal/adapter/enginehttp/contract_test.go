package enginehttp_test

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/adapter/enginehttp"
	"mimosaseam.example/mimosaseam/internal/port/enginetest"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
	"mimosaseam.example/mimosaseam/internal/standin/kvstore"
)

// Runs the contract tests through the wire protocol of the stand-in.
func TestEngineContract(t *testing.T) {
	enginetest.RunEngine(t, func(t *testing.T) enginetest.EngineHarness {
		clock := engine.NewManualClock(time.Unix(1_700_000_000, 0))
		kv := httptest.NewServer(kvstore.New(1 << 20))
		t.Cleanup(kv.Close)
		e := engine.New(engine.Config{
			WeightsVersion: enginetest.Version, DecodeInterval: enginetest.DecodeInterval,
			ColdStart: enginetest.ColdStart, Slots: enginetest.Slots, CheckFencing: true,
			KVStoreURL: kv.URL, Clock: clock,
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		server := e.Server()
		go func() { _ = server.Serve(listener) }()
		client := enginehttp.New(enginehttp.Options{})
		t.Cleanup(func() {
			client.Close()
			e.Close()
			_ = server.Close()
		})
		return enginetest.EngineHarness{
			Engine: client, Address: listener.Addr().String(), Unreachable: unreachable(t),
			Inject:  func(f engine.Fault) { is.New(t).True(e.Inject(t.Context(), f)) },
			Runs:    e.Runs,
			Advance: clock.Advance,
		}
	})
}

func unreachable(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	is.New(t).NoErr(listener.Close())
	return listener.Addr().String()
}
