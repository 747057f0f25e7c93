package platformhttp_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/adapter/platformhttp"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
	"mimosaseam.example/mimosaseam/internal/standin/kvstore"
	"mimosaseam.example/mimosaseam/internal/standin/vmlist"
	"mimosaseam.example/mimosaseam/internal/standin/weightstore"
)

// Guards against a stand-in VM list that returns the current state instead of the
// lagging one, also after the lag has changed.
func TestVMListLags(t *testing.T) {
	is := is.New(t)
	clock := portfake.NewClock(time.Unix(1_700_000_000, 0).UTC())
	options := serve(t, vmlist.New(clock, time.Minute))
	list, base := platformhttp.NewVMList(options), options.BaseURL
	first := []port.VM{{Name: "e1", Role: port.RoleEngine, Address: "10.0.0.1:80", Region: "r", AvailabilityZone: "z", State: port.VMLive}}
	second := []port.VM{{Name: "e1", Role: port.RoleEngine, Address: "10.0.0.1:80", Region: "r", AvailabilityZone: "z", State: port.VMLeaving}}
	served := func() []port.VM {
		s, err := list.List(t.Context())
		is.NoErr(err)
		return s.VMs
	}
	control(t, http.MethodPut, base+"/control/vms", port.VMSnapshot{VMs: first})
	clock.Advance(time.Hour)
	control(t, http.MethodPut, base+"/control/vms", port.VMSnapshot{VMs: second})
	clock.Advance(59 * time.Second)
	is.Equal(served(), first)
	clock.Advance(time.Second)
	is.Equal(served(), second)
	control(t, http.MethodPut, base+"/control/lag", map[string]int{"lag_ms": 120_000})
	is.Equal(served(), first)
	control(t, http.MethodPost, base+"/control/faults", map[string]bool{"outage": true})
	_, err := list.List(t.Context())
	wantErrorType(t, err, &port.UnavailableError{})
}

// Guards against keys that collide after escaping, missing keys that are returned
// as empty values, and values of unlimited size.
func TestKVStore(t *testing.T) {
	is := is.New(t)
	store := platformhttp.NewKVStore(serve(t, kvstore.New(10)))
	is.NoErr(store.Put(t.Context(), "a/b?c", []byte("one")))
	is.NoErr(store.Put(t.Context(), "a%2Fb", nil))
	value, err := store.Get(t.Context(), "a/b?c")
	is.NoErr(err)
	is.Equal(string(value), "one")
	_, err = store.Get(t.Context(), "a/b")
	wantErrorType(t, err, &port.NotFoundError{})
	wantErrorType(t, store.Put(t.Context(), "k", make([]byte, 11)), &port.BadRequestError{})
}

// Guards against a fetch that proceeds although the store's rate limit is reached.
func TestWeightStoreLimit(t *testing.T) {
	is := is.New(t)
	clock := portfake.NewClock(time.Unix(1_700_000_000, 0))
	store := platformhttp.NewWeightStore(serve(t, weightstore.New(clock, 0.5, 1)))
	is.NoErr(store.Fetch(t.Context(), "v1"))
	err := store.Fetch(t.Context(), "v1")
	wantErrorType(t, err, &port.RateLimitedError{})
	is.Equal(err.(*port.RateLimitedError).RetryAfter, 2*time.Second)
	clock.Advance(2 * time.Second)
	is.NoErr(store.Fetch(t.Context(), "v1"))
	wantErrorType(t, store.Fetch(t.Context(), ""), &port.BadRequestError{})
}

func serve(t *testing.T, h http.Handler) platformhttp.Options {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return platformhttp.Options{BaseURL: server.URL}
}
