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
	s.String(&c.Name, "", "name", "Name, the first part of incarnations.")
	s.UInt64(&c.Seed, "", "seed", "Second part of incarnations; 0 takes the start time, so that each start differs.")
	s.String(&c.Model, "", "model", "Only model served; empty serves any.")
	s.String(&c.WeightsVersion, "", "weights-version", "Weights version served at the start.")
	s.String(&c.Role, "", "role", "Role at the start.")
	s.Int(&c.Slots, "", "slots", "Attempts that run at once.")
	s.Int(&c.MaxWaiting, "", "max-waiting", "Attempts that may wait for a slot.")
	s.Int(&c.CapacityBlocks, "", "capacity-blocks", "Capacity of the prefix cache in blocks.")
	s.Int(&c.BlockBytes, "", "block-bytes", "Bytes of a block; 0 takes the default.")
	s.Int(&c.StopAfter, "", "stop-after", "Tokens after which an answer ends with \"stop\".")
	s.Float64(&c.PrefillTokensPerSecond, "", "prefill-rate", "Missed prompt tokens computed per second; 0 takes no time.")
	s.Duration(&c.DecodeInterval, "", "decode-interval", "Time between two tokens of an answer.")
	s.Duration(&c.ColdStart, "", "cold-start", "Time a new incarnation reports \"loading\".")
	s.Bool(&c.StartCold, "", "start-cold", "Start cold.")
	s.Duration(&c.LoadTime, "", "load-time", "Time an order to load takes.")
	s.Duration(&c.LoadLag, "", "load-lag", "Age of load reports.")
	s.Duration(&c.EventLag, "", "event-lag", "Delay of cache events.")
	s.Int(&c.EventGapEvery, "", "event-gap-every", "Lose one cache event in this many; 0 loses none.")
	s.Bool(&c.CheckFencing, "", "check-fencing", "Refuse orders with a stale fencing token.")
	s.String(&c.KVStoreURL, "", "kv-store", "Base URL of the KV store.")
	s.String(&c.WeightStoreURL, "", "weight-store", "Base URL of the weight store; empty loads without a fetch.")
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
	s.Description = "Application runner, a plain service."
	s.Bool(&c.Deduplicate, "", "deduplicate", "Answer a repeated idempotency key without another effect.")
	s.Int(&c.Slots, "", "slots", "Slots shown in load reports; 0 takes the default.")
	s.String(&c.Incarnation, "", "incarnation", "Incarnation shown in load reports; empty takes the start time.")
	return standin{command: s, server: func() (*http.Server, func()) {
		if c.Incarnation == "" {
			c.Incarnation = "app-" + strconv.FormatInt(time.Now().UnixNano(), 16)
		}
		return apprunner.New(c).Server(), func() {}
	}}
}
