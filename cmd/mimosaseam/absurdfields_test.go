package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// Guards against a request whose fields hold absurd values and that ends the process, or
// is refused though it could be served.
func TestAbsurdFieldsAreHarmless(t *testing.T) {
	is := is.New(t)
	engine := newRawTarget(t, "e9", "m", func(c *platformtest.RawConn, r *http.Request, _ int) bool {
		return c.Send(platformtest.Head(r, "200 OK", "Content-Type: text/event-stream", platformtest.LoadField+"-4,9999999999999,0", platformtest.WeightsField+"-7",
			"Retry-After: -1e300", "Content-Length: 16") + "id: 1\ndata: x\n\n\n")
	})
	s := newFaultGateway(t, nil, []*platformtest.RawTarget{engine})
	for i, fields := range [][]string{
		{platformtest.PromptHeader, "a:9000000000000,b:9000000000000000000"},
		{platformtest.PromptHeader, "a:-5,b:x,:,::"},
		{platformtest.PromptHeader, strings.Repeat("a:1000000,", 2000)},
		{platformtest.TokensHeader, "-900000000000,-5"},
		{platformtest.TokensHeader, "9223372036854775807,9223372036854775807"},
		{platformtest.TokensHeader, "9999999999999999999999,x"},
		{"X-Deadline-Ms", "1e300"},
		{"X-Deadline-Ms", "Inf"},
		{"X-Deadline-Ms", "NaN"},
		{"X-Deadline-Ms", "-1"},
		{"Last-Event-Id", "-99999999999999999999"},
	} {
		status, _, complete := s.call(fmt.Sprint("r", i), "/check/", append([]string{platformtest.ModelHeader, "m"}, fields...)...)
		if status != http.StatusOK || !complete {
			t.Error(fields[0], fields[1][:min(len(fields[1]), 40)], status, complete)
		}
	}
	is.Equal(engine.Requests(), 11)
}
