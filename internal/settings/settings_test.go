package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const minimal = `{
  // The required settings of one router.
  "vm": {"name": "entry-1", "region": "nordhafen", "availability_zone": "nordhafen-a"},
  "callers": {"address": "127.0.0.1:8080"},
  "admin": {"address": "127.0.0.1:8081"},
  "peers": {"address": "127.0.0.1:8082"},
  "platform": {"log_url": "http://127.0.0.1:7000", "vm_list_url": "http://127.0.0.1:7001"},
  "system": {"public_key": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="},
}`

// Guards against a minimal file that does not get the documented defaults.
func TestParseFillsInDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("s.jsonc", []byte(minimal))
	is.NoErr(err)
	is.Equal(s.Callers.BodyBytes, 4<<20)
	is.Equal(s.Platform.RetentionS, 604800)
	is.Equal(s.Shutdown.DrainTimeoutS, 120)
}

// Guards against invalid values that are accepted, and against error messages
// without line, path or expected value.
func TestParseRejectsInvalidValues(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"host name":    {"127.0.0.1:8080", "localhost:8080", "s.jsonc:4: /callers/address: found \"localhost:8080\""},
		"no port":      {"127.0.0.1:8081", "127.0.0.1", "s.jsonc:5: /admin/address"},
		"wrong scheme": {"http://127.0.0.1:7000", "ftp://127.0.0.1:7000", "s.jsonc:7: /platform/log_url"},
		"short key":    {"AAAAAAAA", "", "s.jsonc:8: /system/public_key"},
		"unknown key":  {`"region"`, `"regoin"`, "s.jsonc:3: /vm/regoin: found an unknown key"},
		"no name":      {"entry-1", "", "s.jsonc:3: /vm/name: found nothing"},
		"range": {`"address": "127.0.0.1:8080"`, `"address": "127.0.0.1:8080", "body_bytes": 0`,
			"s.jsonc:4: /callers/body_bytes: found 0, want a whole number from 1024"},
		"incomplete TLS": {`"address": "127.0.0.1:8081"`, `"address": "127.0.0.1:8081", "tls": {"cert_file": "c.pem"}`,
			"s.jsonc:5: /admin/tls: found 1 of 2 files"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("s.jsonc", []byte(strings.Replace(minimal, c.old, c.new, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // the error names line, path and expected value
		})
	}
}

// Guards against a process that does not start because the platform writes a
// fractional number, or omits one that does not apply.
func TestGatewaySettingsAcceptFractions(t *testing.T) {
	is := is.New(t)
	s, err := ParseGateway("f", []byte(`{"vm": {"name": "r1", "region": "r", "availability_zone": "z"}, "callers": {"address": "127.0.0.1:1"},
		"ready": {"address": "127.0.0.1:2"}, "peers": {"address": "127.0.0.1:3"}, "log": {"address": "127.0.0.1:4"},
		"limits": {"memory_mb": 112.5}, "bounds": {"key_revoked_ms": 2500.5, "holder_turn_ms": 3000.0, "repeat_window_s": 7.5, "stop_s": 8.0}}`))
	is.NoErr(err)
	is.Equal(Milliseconds(s.Bounds.KeyRevokedMs), 2500500*time.Microsecond)
	is.Equal(s.Bounds.WeightsMs, DefaultGateway().Bounds.WeightsMs)
}

// Guards against bounds of allotments that are not read, or with which no tokens could be
// handed out.
func TestGatewayAllotmentBounds(t *testing.T) {
	is := is.New(t)
	parse := func(bounds string) (Gateway, error) {
		return ParseGateway("f", []byte(`{"vm": {"name": "r1", "region": "r", "availability_zone": "z"}, "callers": {"address": "127.0.0.1:1"},
			"ready": {"address": "127.0.0.1:2"}, "peers": {"address": "127.0.0.1:3"}, "log": {"address": "127.0.0.1:4"}, "bounds": {`+bounds+`}}`))
	}
	s, err := parse(`"allotment_window_s": 8.0, "allotment_over_ratio": 0.05, "allotment_over_slack": 50`)
	is.NoErr(err)
	is.Equal(s.Bounds.AllotmentWindowS, 8.0)
	is.Equal(s.Bounds.AllotmentOverRatio, 0.05)
	is.Equal(s.Bounds.AllotmentOverSlack, 50.0)
	s, err = parse("")
	is.NoErr(err)
	is.Equal(s.Bounds.AllotmentWindowS, 8.0)
	is.Equal(s.Bounds.AllotmentOverRatio, 0.1)
	is.Equal(s.Bounds.AllotmentOverSlack, 0.0)
	for _, bad := range []string{`"allotment_window_s": 0`, `"allotment_over_ratio": 0`, `"allotment_over_ratio": 1.5`, `"allotment_over_slack": -1`} {
		_, err = parse(bad)
		is.True(err != nil)
	}
}
