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

// plain serves a handler that acts on no connections.
func plain(handler http.Handler) (*http.Server, func()) {
	return new(conntrack.Tracker).Server(handler), func() {}
}

func logCommand() standin {
	o := portfake.LogOptions{Retention: time.Hour, AppendsPerSecond: 300, AppendBurst: 100}
	s := flaggy.NewSubcommand("log")
	s.Description = "Append-only log service."
	s.Duration(&o.Retention, "", "retention", "Age at which records expire; 0 keeps them.")
	s.Float64(&o.AppendsPerSecond, "", "appends-per-second", "Rate limit of appends; 0 sets none.")
	s.Int(&o.AppendBurst, "", "append-burst", "Appends allowed at once.")
	return standin{command: s, server: func() (*http.Server, func()) {
		return plain(platformlog.New(portfake.NewLog(o)))
	}}
}

func vmsCommand() standin {
	lag := 5 * time.Second
	s := flaggy.NewSubcommand("vms")
	s.Description = "Lagging list of VMs; PUT /control/vms sets the true list."
	s.Duration(&lag, "", "lag", "How far the list is behind.")
	return standin{command: s, server: func() (*http.Server, func()) {
		return plain(vmlist.New(port.SystemClock{}, lag))
	}}
}

func kvCommand() standin {
	maxValueBytes := int64(64 << 20)
	s := flaggy.NewSubcommand("kv")
	s.Description = "KV cache store."
	s.Int64(&maxValueBytes, "", "max-value-bytes", "Largest value stored, in bytes.")
	return standin{command: s, server: func() (*http.Server, func()) {
		return plain(kvstore.New(maxValueBytes))
	}}
}

func weightsCommand() standin {
	perSecond, burst := 1.0, 1
	s := flaggy.NewSubcommand("weights")
	s.Description = "Rate-limited weight store."
	s.Float64(&perSecond, "", "per-second", "Fetches allowed per second.")
	s.Int(&burst, "", "burst", "Fetches allowed at once.")
	return standin{command: s, server: func() (*http.Server, func()) {
		return plain(weightstore.New(port.SystemClock{}, perSecond, burst))
	}}
}
