package main

import (
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
	"mimosaseam.example/mimosaseam/internal/standin/conntrack"
	"mimosaseam.example/mimosaseam/internal/standin/kvstore"
	"mimosaseam.example/mimosaseam/internal/standin/platformlog"
	"mimosaseam.example/mimosaseam/internal/standin/vmlist"
	"mimosaseam.example/mimosaseam/internal/standin/weightstore"
)

// handlerServer returns a server for a handler that needs no control over its
// connections.
func handlerServer(handler http.Handler) (*http.Server, func()) {
	return new(conntrack.Tracker).Server(handler), func() {}
}

func logCommand() standin {
	o := portfake.LogOptions{Retention: time.Hour, AppendsPerSecond: 300, AppendBurst: 100}
	s := flaggy.NewSubcommand("log")
	s.Description = "Append-only log service."
	s.Duration(&o.Retention, "", "retention", "Age at which records expire; 0 disables expiry.")
	s.Float64(&o.AppendsPerSecond, "", "appends-per-second", "Rate limit of appends per second; 0 disables it.")
	s.Int(&o.AppendBurst, "", "append-burst", "Burst size of the append rate limit.")
	return standin{command: s, server: func() (*http.Server, func()) {
		return handlerServer(platformlog.New(portfake.NewLog(o)))
	}}
}

func vmsCommand() standin {
	lag := 5 * time.Second
	s := flaggy.NewSubcommand("vms")
	s.Description = "VM list with lag; PUT /control/vms sets the current list."
	s.Duration(&lag, "", "lag", "Lag of the served list behind the current one.")
	return standin{command: s, server: func() (*http.Server, func()) {
		return handlerServer(vmlist.New(port.SystemClock{}, lag))
	}}
}

func kvCommand() standin {
	maxValueBytes := int64(64 << 20)
	s := flaggy.NewSubcommand("kv")
	s.Description = "KV cache store."
	s.Int64(&maxValueBytes, "", "max-value-bytes", "Maximum size of a value in bytes.")
	return standin{command: s, server: func() (*http.Server, func()) {
		return handlerServer(kvstore.New(maxValueBytes))
	}}
}

func weightsCommand() standin {
	perSecond, burst := 1.0, 1
	s := flaggy.NewSubcommand("weights")
	s.Description = "Rate-limited weight store."
	s.Float64(&perSecond, "", "per-second", "Fetches allowed per second.")
	s.Int(&burst, "", "burst", "Burst size of the fetch rate limit.")
	return standin{command: s, server: func() (*http.Server, func()) {
		return handlerServer(weightstore.New(port.SystemClock{}, perSecond, burst))
	}}
}
