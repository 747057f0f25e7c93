package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"net"
	"net/url"
	"strconv"

	"mimosaseam.example/mimosaseam/internal/strictjson"
)

// maxNameBytes bounds the names of VMs, regions and availability zones, since they
// are sent in messages between routers.
const maxNameBytes = 64

func (s *Settings) check(d *strictjson.Document) {
	checkName(d, "/vm/name", s.VM.Name)
	checkName(d, "/vm/region", s.VM.Region)
	checkName(d, "/vm/availability_zone", s.VM.AvailabilityZone)
	s.checkListeners(d)
	s.checkPlatform(d)
	s.checkTelemetry(d)
	checkRange(d, "/resources/memory_mb", s.Resources.MemoryMB, 32, 1<<20)
	checkRange(d, "/resources/index_bytes", s.Resources.IndexBytes, 1<<20, 1<<34)
	checkRange(d, "/resources/event_bytes_per_s", s.Resources.EventBytesPerS, 0, 1<<24)
	checkRange(d, "/shutdown/drain_timeout_s", s.Shutdown.DrainTimeoutS, 0, 3600)
	checkRange(d, "/shutdown/unready_ms", s.Shutdown.UnreadyMs, 0, 60_000)
}

func (s *Settings) checkListeners(d *strictjson.Document) {
	checkAddress(d, "/callers/address", s.Callers.Address)
	checkAddress(d, "/admin/address", s.Admin.Address)
	checkAddress(d, "/peers/address", s.Peers.Address)
	for i, seed := range s.Peers.Seeds {
		checkAddress(d, "/peers/seeds/"+strconv.Itoa(i), seed)
	}
	checkRange(d, "/callers/header_bytes", s.Callers.HeaderBytes, 1<<10, 1<<20)
	checkRange(d, "/callers/body_bytes", s.Callers.BodyBytes, 1<<10, 1<<30)
	checkRange(d, "/callers/read_timeout_s", s.Callers.ReadTimeoutS, 1, 3600)
	checkRange(d, "/callers/write_stall_s", s.Callers.WriteStallS, 1, 3600)
	checkRange(d, "/callers/connections", s.Callers.Connections, 1, 1_000_000)
	checkAllOrNone(d, "/callers/tls", s.Callers.TLS.CertFile, s.Callers.TLS.KeyFile)
	checkAllOrNone(d, "/admin/tls", s.Admin.TLS.CertFile, s.Admin.TLS.KeyFile)
	checkAllOrNone(d, "/peers/tls", s.Peers.TLS.CertFile, s.Peers.TLS.KeyFile, s.Peers.TLS.CAFile)
}

func (s *Settings) checkPlatform(d *strictjson.Document) {
	checkURL(d, "/platform/log_url", s.Platform.LogURL, true)
	checkURL(d, "/platform/vm_list_url", s.Platform.VMListURL, true)
	checkURL(d, "/platform/weight_store_url", s.Platform.WeightStoreURL, false)
	checkRange(d, "/platform/retention_s", s.Platform.RetentionS, 60, 366*24*3600)
	checkRange(d, "/platform/appends_per_second", s.Platform.AppendsPerSecond, 1, 1000)
	checkRange(d, "/platform/vm_list_poll_ms", s.Platform.VMListPollMs, 100, 60_000)
	key, err := base64.StdEncoding.DecodeString(s.System.PublicKey)
	if err != nil || len(key) != ed25519.PublicKeySize {
		d.Add("/system/public_key", quoteValue(s.System.PublicKey), "an ed25519 public key of 32 bytes in base64")
	}
}

func (s *Settings) checkTelemetry(d *strictjson.Document) {
	checkOneOf(d, "/telemetry/log_level", s.Telemetry.LogLevel, "debug", "info", "warn", "error")
	checkOneOf(d, "/telemetry/log_format", s.Telemetry.LogFormat, "json", "text")
	if s.Telemetry.OTLPAddress != "" {
		checkAddress(d, "/telemetry/otlp_address", s.Telemetry.OTLPAddress)
	}
	if s.Telemetry.TraceRatio < 0 || s.Telemetry.TraceRatio > 1 {
		d.Add("/telemetry/trace_ratio", strconv.FormatFloat(s.Telemetry.TraceRatio, 'g', -1, 64), "a number from 0 to 1")
	}
}

func checkName(d *strictjson.Document, path, name string) {
	if name == "" || len(name) > maxNameBytes {
		d.Add(path, quoteValue(name), "a name of 1 to "+strconv.Itoa(maxNameBytes)+" bytes")
	}
}

// checkAddress requires an IP address, since routers reach each other by IP address
// and a host name that does not resolve would fail only after the start.
func checkAddress(d *strictjson.Document, path, address string) {
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || number == 0 {
		d.Add(path, quoteValue(address), "an IP address and a port from 1 to 65535, as 10.0.0.1:8080")
	}
}

func checkURL(d *strictjson.Document, path, text string, required bool) {
	if text == "" && !required {
		return
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		d.Add(path, quoteValue(text), "a URL as http://10.0.0.1:7000")
	}
}

func checkRange(d *strictjson.Document, path string, n, low, high int) {
	if n < low || n > high {
		d.Add(path, strconv.Itoa(n), "a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
}

func checkOneOf(d *strictjson.Document, path, value string, allowed ...string) {
	choices := ""
	for i, a := range allowed {
		if value == a {
			return
		}
		if i > 0 {
			choices += ", "
		}
		choices += a
	}
	d.Add(path, quoteValue(value), "one of "+choices)
}

// checkAllOrNone rejects a TLS section in which only some of the files are set.
func checkAllOrNone(d *strictjson.Document, path string, files ...string) {
	set := 0
	for _, f := range files {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != len(files) {
		d.Add(path, strconv.Itoa(set)+" of "+strconv.Itoa(len(files))+" files", "all files or none")
	}
}

// quoteValue formats a value for the "found" part of a problem.
func quoteValue(value string) string {
	if value == "" {
		return "nothing"
	}
	return strconv.Quote(value)
}
