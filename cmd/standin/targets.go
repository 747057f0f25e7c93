package main

import (
	"net/http"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"mimosaseam.example/mimosaseam/internal/standin/apprunner"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

func engineCommand() standin {
	c := engine.Config{
		Name: "engine", WeightsVersion: "v1", Role: "mixed",
		Slots: engine.DefaultSlots, MaxWaiting: engine.DefaultMaxWaiting,
		CapacityBlocks: engine.DefaultCapacityBlocks, StopAfter: engine.DefaultStopAfter,
		PrefillTokensPerSecond: 8000, DecodeInterval: 30 * time.Millisecond,
		LoadLag: 500 * time.Millisecond, EventLag: 200 * time.Millisecond,
	}
	s := flaggy.NewSubcommand("engine")
	s.Description = "Model engine."
	s.String(&c.Name, "", "name", "Name of the engine, the first part of its incarnations.")
	s.UInt64(&c.Seed, "", "seed", "Second part of incarnations; 0 uses the start time, so that each start differs.")
	s.String(&c.Model, "", "model", "Only model served; if empty, any model is served.")
	s.String(&c.WeightsVersion, "", "weights-version", "Initial weights version.")
	s.String(&c.Role, "", "role", "Initial role.")
	s.Int(&c.Slots, "", "slots", "Maximum number of concurrent attempts.")
	s.Int(&c.MaxWaiting, "", "max-waiting", "Maximum number of attempts waiting for a slot.")
	s.Int(&c.CapacityBlocks, "", "capacity-blocks", "Capacity of the prefix cache in blocks.")
	s.Int(&c.BlockBytes, "", "block-bytes", "Bytes per block; 0 uses the default.")
	s.Int(&c.StopAfter, "", "stop-after", "Tokens after which a response ends with \"stop\".")
	s.Float64(&c.PrefillTokensPerSecond, "", "prefill-rate", "Uncached prompt tokens computed per second; 0 means prefill takes no time.")
	s.Duration(&c.DecodeInterval, "", "decode-interval", "Time between two tokens of a response.")
	s.Duration(&c.ColdStart, "", "cold-start", "Time for which a new incarnation reports \"loading\".")
	s.Bool(&c.StartCold, "", "start-cold", "Apply the cold start to the first incarnation too.")
	s.Duration(&c.LoadTime, "", "load-time", "Time a load order takes.")
	s.Duration(&c.LoadLag, "", "load-lag", "Age of load reports.")
	s.Duration(&c.EventLag, "", "event-lag", "Delay of cache events.")
	s.Int(&c.EventGapEvery, "", "event-gap-every", "Drop every nth cache event; 0 drops none.")
	s.Bool(&c.CheckFencing, "", "check-fencing", "Refuse orders with a stale fencing token.")
	s.String(&c.KVStoreURL, "", "kv-store", "Base URL of the KV store.")
	s.String(&c.WeightStoreURL, "", "weight-store", "Base URL of the weight store; if empty, weights are loaded without a fetch.")
	return standin{command: s, server: func() (*http.Server, func()) {
		if c.Seed == 0 {
			c.Seed = uint64(time.Now().UnixNano())
		}
		e := engine.New(c)
		return e.Server(), e.Close
	}}
}

func appCommand() standin {
	var c apprunner.Config
	s := flaggy.NewSubcommand("app")
	s.Description = "Application runner, an HTTP service."
	s.Bool(&c.Deduplicate, "", "deduplicate", "Return the first response to a repeated idempotency key, without another effect.")
	s.Int(&c.Slots, "", "slots", "Slots in load reports; 0 uses the default.")
	s.String(&c.Incarnation, "", "incarnation", "Incarnation in load reports; if empty, derived from the start time.")
	return standin{command: s, server: func() (*http.Server, func()) {
		if c.Incarnation == "" {
			c.Incarnation = "app-" + strconv.FormatInt(time.Now().UnixNano(), 16)
		}
		return apprunner.New(c).Server(), func() {}
	}}
}
