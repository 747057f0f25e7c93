package settings

import (
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/core/placement/baseline"
	"mimosaseam.example/mimosaseam/internal/strictjson"
)

// Gateway is the settings file of a router that forwards requests unchanged. The
// platform writes the file.
type Gateway struct {
	VM VM `json:"vm"`
	// Callers is the listener for clients, Ready the listener for the load balancer's
	// readiness checks.
	Callers ListenAddress `json:"callers"`
	Ready   ListenAddress `json:"ready"`
	// Peers is the listener for other routers.
	Peers ListenAddress `json:"peers"`
	// Metrics is the listener that serves counters and latency histograms; empty:
	// none.
	Metrics ListenAddress `json:"metrics"`
	// Regions maps availability zones to regions.
	Regions map[string]string `json:"regions"`
	Log     PlatformLog       `json:"log"`
	Limits  ProcessLimits     `json:"limits"`
	Targets TargetList        `json:"targets"`
	Bounds  Bounds            `json:"bounds"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level"`
	// Policy is the placement policy for generations: mimosaseam, or one of
	// round-robin, least-loaded and prefix-hash, which are baselines for comparison
	// only. Default mimosaseam.
	Policy  string  `json:"policy"`
	Tracing Tracing `json:"tracing"`
}

// PolicyMimosaseam is the name of the default placement policy.
const PolicyMimosaseam = "mimosaseam"

// Tracing configures the export of spans.
type Tracing struct {
	// OTLPAddress is the receiver of spans over OTLP gRPC, host:port. Default none.
	OTLPAddress string `json:"otlp_address"`
	// TraceRatio is the share of requests traced, 0 to 1. Default 1 where a destination is set.
	TraceRatio float64 `json:"trace_ratio"`
}

// ListenAddress is an address to listen on.
type ListenAddress struct {
	Address string `json:"address"` // host:port
}

// PlatformLog is the platform's append-only log.
type PlatformLog struct {
	Address string `json:"address"` // host:port
}

// TargetList is the list of targets on the platform's log.
type TargetList struct {
	// HeartbeatMs is the time between two writes of an entry by its target, in ms. The platform
	// removes an entry after three of them without a write. Default 2000.
	HeartbeatMs float64 `json:"heartbeat_ms"`
}

// ProcessLimits bounds the resources of the process.
type ProcessLimits struct {
	// MemoryMB is the memory limit of the process, in MB. Default 128.
	MemoryMB float64 `json:"memory_mb"`
	// MaxFDs is the number of file descriptors that the process may open. Default 1024.
	MaxFDs float64 `json:"max_fds"`
	// HeaderBytes bounds the head of a request in bytes before the configuration is known,
	// and above what the configuration allows. Default 65536.
	HeaderBytes float64 `json:"header_bytes"`
}

// Bounds are the guarantees that the deployment gives to its users.
type Bounds struct {
	// KeyRevokedMs is how long a revoked key may still be accepted, in ms.
	// Default 5000.
	KeyRevokedMs float64 `json:"key_revoked_ms"`
	// KeyRevokedStrict makes a router reject keys while it cannot verify whether they
	// have been revoked.
	KeyRevokedStrict bool `json:"key_revoked_strict"`
	// ConfigurationMs is the time within which a new configuration takes effect, in
	// ms. Default 2500.
	ConfigurationMs float64 `json:"configuration_ms"`
	// LeavingMs is the time after which a target that has announced that it is
	// leaving must receive no more requests, in ms. Default 2500.
	LeavingMs float64 `json:"leaving_ms"`
	// RetryRatio and RetryAllowance limit the retries to a service within
	// RetryWindowS seconds. Defaults 0.2, 50, 10.
	RetryRatio     float64 `json:"repeat_ratio"`
	RetryAllowance float64 `json:"repeat_allowance"`
	RetryWindowS   float64 `json:"repeat_window_s"`
	// AllotmentOverRatio and AllotmentOverSlack are the excess over the allotment of a client
	// account that is tolerated in any window of AllotmentWindowS seconds: a fraction of the
	// allotment, and units on top of it. Defaults 0.1, 0, 8.
	AllotmentOverRatio float64 `json:"allotment_over_ratio"`
	AllotmentOverSlack float64 `json:"allotment_over_slack"`
	AllotmentWindowS   float64 `json:"allotment_window_s"`
	// HandoverIntervalMs is the minimum time between the last order of one router and
	// the first order of the next, in ms. Default 3000.
	HandoverIntervalMs float64 `json:"holder_turn_ms"`
	// TargetsCheckFencing is set when targets reject orders with stale fencing tokens.
	TargetsCheckFencing bool `json:"targets_check_fencing"`
	// WeightsMs is the time after which no request may start on weights older than
	// the desired version, in ms. Default 8000.
	WeightsMs float64 `json:"weights_ms"`
	// StopS is the time between the stop signal and the forced termination, in s.
	// Default 8.
	StopS float64 `json:"stop_s"`
}

// DefaultGateway returns the default settings.
func DefaultGateway() Gateway {
	return Gateway{
		Limits:  ProcessLimits{MemoryMB: 128, MaxFDs: 1024, HeaderBytes: 64 << 10},
		Targets: TargetList{HeartbeatMs: 2000},
		Bounds: Bounds{KeyRevokedMs: 5000, ConfigurationMs: 2500, LeavingMs: 2500, RetryRatio: 0.2, RetryAllowance: 50, RetryWindowS: 10,
			AllotmentOverRatio: 0.1, AllotmentWindowS: 8, HandoverIntervalMs: 3000, WeightsMs: 8000, StopS: 8},
		LogLevel: "info",
		Policy:   PolicyMimosaseam,
		Tracing:  Tracing{TraceRatio: 1},
	}
}

// LoadGateway reads and validates a settings file. Problems in its content are
// returned as a *strictjson.Error.
func LoadGateway(path string) (Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, eris.Wrap(err, "read settings")
	}
	return ParseGateway(path, text)
}

// ParseGateway decodes and validates the text of a settings file.
func ParseGateway(file string, text []byte) (Gateway, error) {
	s := DefaultGateway()
	d := strictjson.Decode(file, text, &s)
	checkName(d, "/vm/name", s.VM.Name)
	checkName(d, "/vm/availability_zone", s.VM.AvailabilityZone)
	checkAddress(d, "/callers/address", s.Callers.Address)
	checkAddress(d, "/ready/address", s.Ready.Address)
	checkAddress(d, "/log/address", s.Log.Address)
	checkAddress(d, "/peers/address", s.Peers.Address)
	if s.Metrics.Address != "" {
		checkAddress(d, "/metrics/address", s.Metrics.Address)
	}
	b := s.Bounds
	for _, c := range []struct {
		path            string
		value           float64
		lowest, highest float64
	}{
		{"/limits/memory_mb", s.Limits.MemoryMB, 32, 1 << 20},
		{"/limits/max_fds", s.Limits.MaxFDs, 64, 1 << 24},
		{"/limits/header_bytes", s.Limits.HeaderBytes, 1 << 10, 1 << 20},
		{"/targets/heartbeat_ms", s.Targets.HeartbeatMs, 100, 600_000},
		{"/bounds/key_revoked_ms", b.KeyRevokedMs, 100, 3_600_000},
		{"/bounds/configuration_ms", b.ConfigurationMs, 100, 3_600_000},
		{"/bounds/leaving_ms", b.LeavingMs, 100, 3_600_000},
		{"/bounds/repeat_ratio", b.RetryRatio, 0, 1},
		{"/bounds/repeat_allowance", b.RetryAllowance, 0, 1 << 20},
		{"/bounds/repeat_window_s", b.RetryWindowS, 1, 3600},
		{"/bounds/allotment_over_ratio", b.AllotmentOverRatio, 0.01, 1},
		{"/bounds/allotment_over_slack", b.AllotmentOverSlack, 0, 1 << 40},
		{"/bounds/allotment_window_s", b.AllotmentWindowS, 1, 3600},
		{"/bounds/holder_turn_ms", b.HandoverIntervalMs, 100, 600_000},
		{"/bounds/weights_ms", b.WeightsMs, 100, 3_600_000},
		{"/bounds/stop_s", b.StopS, 1, 3600},
	} {
		if c.value < c.lowest || c.value > c.highest {
			d.Add(c.path, formatNumber(c.value), "a number from "+formatNumber(c.lowest)+" to "+formatNumber(c.highest))
		}
	}
	checkOneOf(d, "/policy", s.Policy, append([]string{PolicyMimosaseam}, baseline.Names...)...)
	if s.Tracing.OTLPAddress != "" {
		checkAddress(d, "/tracing/otlp_address", s.Tracing.OTLPAddress)
	}
	if r := s.Tracing.TraceRatio; r < 0 || r > 1 {
		d.Add("/tracing/trace_ratio", formatNumber(r), "a number from 0 to 1")
	}
	checkOneOf(d, "/log_level", s.LogLevel, "debug", "info", "warn", "error")
	if err := d.Err(); err != nil {
		return Gateway{}, err
	}
	return s, nil
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'g', -1, 64) }

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return Milliseconds(1000 * s) }
