// Package settings defines the settings file of one router process: its own
// addresses and availability zone, the platform's addresses, and its resource
// limits. What operators change at run time is part of the configuration instead.
package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/strictjson"
)

// Settings is the content of the settings file. The comment of each field states
// its unit and default.
type Settings struct {
	VM        VM        `json:"vm"`
	Callers   Callers   `json:"callers"`
	Admin     Admin     `json:"admin"`
	Peers     Peers     `json:"peers"`
	Targets   Targets   `json:"targets"`
	Platform  Platform  `json:"platform"`
	System    System    `json:"system"`
	Telemetry Telemetry `json:"telemetry"`
	Resources Resources `json:"resources"`
	Shutdown  Shutdown  `json:"shutdown"`
}

// VM identifies the machine that the process runs on.
type VM struct {
	// Name is unique among the routers. Required.
	Name string `json:"name"`
	// Region of the VM. Required.
	Region string `json:"region"`
	// AvailabilityZone of the VM. Required.
	AvailabilityZone string `json:"availability_zone"`
}

// Callers is the listener for callers.
type Callers struct {
	// Address to listen on, host:port. Required.
	Address string `json:"address"`
	// HeaderBytes bounds the headers of a request, in bytes. Default 32768.
	HeaderBytes int `json:"header_bytes"`
	// BodyBytes bounds the body of a request, in bytes. Default 4194304.
	BodyBytes int `json:"body_bytes"`
	// ReadTimeoutS bounds the reading of one request, in s. Default 30.
	ReadTimeoutS int `json:"read_timeout_s"`
	// WriteStallS is how long one write to a caller may block, in s. Default 30.
	WriteStallS int `json:"write_stall_s"`
	// Connections bounds open connections. Default 10000.
	Connections int       `json:"connections"`
	TLS         ServerTLS `json:"tls"`
}

// Admin is the listener for operators: readiness, liveness, status, metrics.
type Admin struct {
	// Address to listen on, host:port. Required.
	Address string    `json:"address"`
	TLS     ServerTLS `json:"tls"`
}

// Peers is the listener for other routers.
type Peers struct {
	// Address to listen on, host:port; other routers connect to the same address.
	// Required.
	Address string `json:"address"`
	// Seeds are addresses of other routers, used when the VM list is unavailable.
	// Default none.
	Seeds []string `json:"seeds"`
	// TLS authenticates routers to each other: all use certificates of one CA.
	TLS PeerTLS `json:"tls"`
}

// Targets configures the connections to targets.
type Targets struct {
	TLS ClientTLS `json:"tls"`
}

// Platform gives the addresses of the platform's services.
type Platform struct {
	// LogURL is the log service, as http://host:port. Required.
	LogURL string `json:"log_url"`
	// VMListURL is the VM list, as http://host:port. Required.
	VMListURL string `json:"vm_list_url"`
	// WeightStoreURL is the weight store. Default none.
	WeightStoreURL string `json:"weight_store_url"`
	// RetentionS is how long the log retains records, in s. Default 604800.
	RetentionS int `json:"retention_s"`
	// AppendsPerSecond bounds this router's appends to the ledger. Default 20.
	AppendsPerSecond int `json:"appends_per_second"`
	// VMListPollMs is the time between two reads of the VM list, in ms. Default 1000.
	VMListPollMs int       `json:"vm_list_poll_ms"`
	TLS          ClientTLS `json:"tls"`
}

// System is the root of trust of the configuration.
type System struct {
	// PublicKey is the ed25519 public key of the team "system", in base64. Required.
	PublicKey string `json:"public_key"`
}

// Telemetry configures logs and traces.
type Telemetry struct {
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level"`
	// LogFormat is json or text. Default json.
	LogFormat string `json:"log_format"`
	// TraceFile is the file to which spans are written as JSON lines. Default none.
	TraceFile string `json:"trace_file"`
	// OTLPAddress is the receiver of spans over OTLP gRPC, host:port. Default none.
	OTLPAddress string `json:"otlp_address"`
	// TraceRatio is the share of requests traced, 0 to 1. Default 1 where a destination is set.
	TraceRatio float64 `json:"trace_ratio"`
}

// Resources bounds the resources of the process.
type Resources struct {
	// MemoryMB is the memory limit of the process, in MB. Default 128.
	MemoryMB int `json:"memory_mb"`
	// IndexBytes bounds the prefix index, in bytes. Default 19200000, which holds
	// 300,000 blocks.
	IndexBytes int `json:"index_bytes"`
	// EventBytesPerS limits the rate of reading cache events from engines, in bytes
	// per second; 0 reads none. Together with the 470 bytes per second of load
	// reports and the exchanges with peers, the default stays below the limit of
	// 2 KB/s per router. Default 500.
	EventBytesPerS int `json:"event_bytes_per_s"`
	// Seed is the seed of random choices; 0 uses one from the operating system.
	// Default 0.
	Seed int64 `json:"seed"`
}

// Shutdown bounds a planned stop.
type Shutdown struct {
	// DrainTimeoutS is how long open requests may continue, in s. Default 120.
	DrainTimeoutS int `json:"drain_timeout_s"`
	// UnreadyMs is how long the router still accepts requests after it became
	// unready, so that the load balancer can detect it, in ms. Default 1000.
	UnreadyMs int `json:"unready_ms"`
}

// ServerTLS enables TLS for a listener when both files are set.
type ServerTLS struct {
	// CertFile and KeyFile are PEM files, reloaded when they change.
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}

// ClientTLS enables TLS for a client when CAFile is set.
type ClientTLS struct {
	// CAFile is a PEM file with the trusted root certificates.
	CAFile string `json:"ca_file"`
}

// PeerTLS enables mutual TLS between routers when all files are set.
type PeerTLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Callers: Callers{
			HeaderBytes: 32 << 10, BodyBytes: 4 << 20, ReadTimeoutS: 30, WriteStallS: 30, Connections: 10_000,
		},
		Platform:  Platform{RetentionS: 7 * 24 * 3600, AppendsPerSecond: 20, VMListPollMs: 1000},
		Telemetry: Telemetry{LogLevel: "info", LogFormat: "json", TraceRatio: 1},
		Resources: Resources{MemoryMB: 128, IndexBytes: 19_200_000, EventBytesPerS: 500},
		Shutdown:  Shutdown{DrainTimeoutS: 120, UnreadyMs: 1000},
	}
}

// Load reads and validates a settings file. Problems in its content are returned
// as a *strictjson.Error.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse decodes and validates the text of a settings file.
func Parse(file string, text []byte) (Settings, error) {
	s := Defaults()
	d := strictjson.Decode(file, text, &s)
	s.check(d)
	if err := d.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Retention returns how long the platform log retains records.
func (p Platform) Retention() time.Duration { return time.Duration(p.RetentionS) * time.Second }
