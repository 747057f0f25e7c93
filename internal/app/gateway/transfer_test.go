package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
)

// transferRequest is an exchange of a request with 6,000 shared tokens that goes to engine e1.
type transferRequest struct {
	*exchange
	w      *testGateway
	scope  string
	target Target
	shared []port.Segment
}

// newTransferRequest returns the request in a deployment with a store in the zone of the engines
// and one beyond.
func newTransferRequest(t *testing.T, stores ...gatewayconfig.Service) *transferRequest {
	w := newTestGateway(t)
	s := *w.settings()
	s.Regions = map[string]string{"za": "a", "zb": "b"}
	w.SetSettings(s)
	for _, id := range []string{"e1", "e2", "e3"} {
		w.Directory.Put(port.TargetEntry{ID: id, Service: "llm", Address: "llm-" + id, Slots: 8, AvailabilityZone: "za", Weights: map[string]int{testModel: 1}})
	}
	d := gatewayconfig.Definition{Version: 2, Routes: []gatewayconfig.Route{{Name: "check", Host: "h", Prefix: "/check/", Kind: gatewayconfig.Streaming,
		MaxAttempts: 1, Services: []gatewayconfig.WeightedService{{Service: "llm", Weight: 1}}, Timeout: 5 * time.Second, Objective: time.Second}},
		Services: append(stores, gatewayconfig.Service{Name: "llm", Engine: &gatewayconfig.Engine{Slots: 8, CacheTokens: 100_000, TokenBytes: 200_000, LinkMbps: 700_000}})}
	w.SetConfiguration(gatewayconfig.New(d))
	prompt := []port.Segment{{ID: "a", Tokens: 2000}, {ID: "b", Tokens: 4000}, {ID: "c", Tokens: 1000}}
	x, err := w.plan(&Request{ID: "r1", Path: "/check/x", Host: "h", Model: testModel, PromptTokens: 7000, MaxOutputTokens: 10, Prompt: prompt, Received: time.Now()}, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	w.observePrefill("llm", placement.Score{}, 40_000, time.Second)
	x.prefillPerSecond = w.prefillRate("llm")
	r := &transferRequest{exchange: x, w: w, shared: prompt[:2]}
	for _, e := range w.Directory.Service("llm") {
		if e.ID == "e1" {
			r.target = e
		}
	}
	r.scope = x.cacheScope(r.target)
	return r
}

func storeIn(zone string) gatewayconfig.Service {
	return gatewayconfig.Service{Name: "store-" + zone, Store: &gatewayconfig.KVStore{Address: "store-" + zone, AvailabilityZone: zone}}
}

// follow makes the events of the cache known: it has the shared segments, or nothing.
func (r *transferRequest) follow(address string, holds bool) {
	e := port.SegmentEvents{Epoch: 1}
	if holds {
		for _, s := range r.shared {
			e.Events = append(e.Events, port.SegmentEvent{Scope: r.scope, SegmentID: s.ID, Tokens: s.Tokens})
		}
	}
	r.w.CacheContents.Observe(time.Now(), address, e)
}

// Guards against shared prompt segments that are prefilled again, although another cache has them,
// because this router is not one of those that read the events of that cache, and against
// transfers from and to caches that are known to be of no use.
func TestSegmentsAreFetchedFromCachesThatAreNotFollowed(t *testing.T) {
	near, far := storeIn("za"), storeIn("zb")
	elsewhere := func(r *transferRequest) {
		r.scores = []placement.Score{{Target: "llm-e1"}, {Target: "llm-e2", CachedTokens: 5000}}
	}
	for name, c := range map[string]struct {
		stores      []gatewayconfig.Service
		prepare     func(r *transferRequest)
		fetch, save string
	}{
		"nothing is known":               {stores: []gatewayconfig.Service{far, near}, fetch: "store-za", save: "store-za"},
		"the store beyond is the only":   {stores: []gatewayconfig.Service{far}, fetch: "store-zb", save: "store-zb"},
		"the near store lacks it":        {stores: []gatewayconfig.Service{near}, prepare: func(r *transferRequest) { r.follow("store-za", false) }, save: "store-za"},
		"the near store has it":          {stores: []gatewayconfig.Service{near}, prepare: func(r *transferRequest) { r.follow("store-za", true) }, fetch: "store-za"},
		"the far store is known to have": {stores: []gatewayconfig.Service{far, near}, prepare: func(r *transferRequest) { r.follow("store-zb", true); r.follow("store-za", false) }, fetch: "store-zb", save: "store-za"},
		"the events of the store ended": {stores: []gatewayconfig.Service{near}, prepare: func(r *transferRequest) {
			r.follow("store-za", true)
			time.Sleep(5 * time.Second) // fake clock
			r.w.MarkVerified(time.Now())
		}},
		"the target has it":       {stores: []gatewayconfig.Service{near}, prepare: func(r *transferRequest) { r.score.CachedTokens = 6000 }},
		"saved before":            {stores: []gatewayconfig.Service{near}, prepare: func(r *transferRequest) { r.planTransfers(time.Now(), r.target) }, fetch: "store-za"},
		"an engine is expected":   {prepare: elsewhere, fetch: "llm-e2"},
		"an engine that lacks it": {prepare: func(r *transferRequest) { elsewhere(r); r.follow("llm-e2", false) }},
		"an engine that is down":  {prepare: func(r *transferRequest) { elsewhere(r); r.w.circuits.Failure(time.Now(), "e2", retry.TargetDown) }},
		"an engine on other weights": {prepare: func(r *transferRequest) {
			elsewhere(r)
			r.w.Directory.SetWeights("e2", map[string]int{testModel: 2})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newTransferRequest(t, c.stores...)
				if c.prepare != nil {
					c.prepare(r)
				}
				r.planTransfers(time.Now(), r.target)
				is.Equal(r.fetchFrom, c.fetch)
				is.Equal(r.saveTo, c.save)
			})
		})
	}
}
