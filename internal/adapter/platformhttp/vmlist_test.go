package platformhttp_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/adapter/platformhttp"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against one odd entry in the VM list that hides all others for good.
func TestOddEntryDoesNotHideTheVMList(t *testing.T) {
	first := `{"name":"e1","role":"engine","address":"10.0.0.1:80","region":"r","availability_zone":"z","state":"live"}`
	second := strings.NewReplacer("e1", "e2", "live", "leaving").Replace(first)
	for name, odd := range map[string]string{
		"nested without end of sense": strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
		"nested deeply in a field":    strings.Replace(first, `"r"`, strings.Repeat(`{"a":`, 50_000)+"1"+strings.Repeat("}", 50_000), 1),
		"a large number":              strings.Replace(first, `"r"`, "1e999999", 1),
		"a long number":               strings.Replace(first, `"r"`, strings.Repeat("9", 10_000), 1),
		"wrong types":                 `{"name":7,"role":[],"address":{},"state":true}`,
		"no object":                   `"e1"`,
		"a number":                    "17",
		"null":                        "null",
		"no fields":                   "{}",
		"an empty name":               strings.Replace(first, "e1", "", 1),
		"null as a name":              strings.Replace(first, `"e1"`, "null", 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := `{"new":{"a":[1]},"as_of":"2026-01-02T03:04:05Z","vms":[` + first + "," + odd + "," + second + `]}`
			list := platformhttp.NewVMList(serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })))
			got, err := list.List(t.Context())
			is.NoErr(err)
			is.Equal(got.AsOf, time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC))
			vm := port.VM{Name: "e1", Role: port.RoleEngine, Address: "10.0.0.1:80", Region: "r", AvailabilityZone: "z", State: port.VMLive}
			leaving := vm
			leaving.Name, leaving.State = "e2", port.VMLeaving
			is.Equal(got.VMs, []port.VM{vm, leaving})
		})
	}
}

// Guards against a response that is no list, or only the begin of one, taken for a list.
func TestBrokenVMListIsRejected(t *testing.T) {
	for name, body := range map[string]string{
		"nothing":      "",
		"no object":    `[]`,
		"cut off":      `{"as_of":"2026-01-02T03:04:05Z","vms":[{"name":"e1"`,
		"list cut off": `{"as_of":"2026-01-02T03:04:05Z","vms":[{"name":"e1"}`,
		"no time":      `{"vms":[]}`,
		"no list":      `{"as_of":"2026-01-02T03:04:05Z","vms":7}`,
	} {
		t.Run(name, func(t *testing.T) {
			list := platformhttp.NewVMList(serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })))
			_, err := list.List(t.Context())
			wantErrorType(t, err, &port.UnknownOutcomeError{})
		})
	}
}
