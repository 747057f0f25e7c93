package day

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const lines = `
 -9.1 vm-1 {"time":"2026-01-01T00:00:00Z","level":"INFO","msg":"starting","vm":"vm-1","availability_zone":"a"}
{"time":"2026-01-01T00:00:01Z","msg":"sent","vm":"vm-1","request":"r1","send":1,"prompt_tokens":1000,"cached_tokens":400,"queue_ms":10,"prefill_ms":20,"link_ms":5}
{"time":"2026-01-01T00:00:01.1Z","msg":"answered","vm":"vm-1","request":"r1","route":"check","account":"c1","objective_ms":100,"first_event_ms":60,"queued_ms":15}
{"time":"2026-01-01T00:00:01Z","msg":"sent","vm":"vm-1","request":"r2","send":1,"prompt_tokens":500,"cached_tokens":0,"elsewhere_tokens":300}
{"time":"2026-01-01T00:00:01.2Z","msg":"repeated","vm":"vm-1","request":"r2"}
{"time":"2026-01-01T00:00:01.3Z","msg":"sent","vm":"vm-1","request":"r2","send":2,"prompt_tokens":500,"cached_tokens":0,"elsewhere_tokens":300,"fetch_from":"t9"}
{"time":"2026-01-01T00:00:02Z","msg":"answered","vm":"vm-1","request":"r2","route":"check","account":"c2","objective_ms":100,"first_event_ms":900}
{"time":"2026-01-01T00:00:02Z","msg":"sent","vm":"vm-1","request":"r3","send":1,"prompt_tokens":200,"cached_tokens":0}
{"time":"2026-01-01T00:00:02.5Z","msg":"not answered","vm":"vm-1","request":"r3","route":"check","account":"c2","outcome":"aborted"}
{"time":"2026-01-01T00:00:02.5Z","msg":"not answered","vm":"vm-1","request":"r4","route":"book","outcome":"refused"}
{"time":"2026-01-01T00:00:02.5Z","msg":"not answered","vm":"vm-1","request":"r5","outcome":"no route"}
{"time":"2026-01-01T00:00:02.5Z","msg":"not answered","vm":"vm-1","request":"r6","route":"book","outcome":"timeout"}
{"time":"2026-01-01T00:00:02.6Z","msg":"order"}
{"time": broken
no log line at all
`

// Guards against a report that counts requests or tokens twice, drops some, or does
// not count the lines that it cannot parse.
func TestReport(t *testing.T) {
	is := is.New(t)
	r, err := Read(strings.NewReader(lines))
	is.NoErr(err)
	is.Equal(*r.Routes["check"], Outcomes{Requests: 3, OnTime: 1, Late: 1, Aborted: 1})
	is.Equal(*r.Routes["book"], Outcomes{Requests: 2, Refused: 1, Failed: 1})
	is.Equal(*r.Routes["-"], Outcomes{Requests: 1, NotAllowed: 1})
	is.Equal(r.Accounts["c2"].Requests, 2)
	is.Equal(r.Zones["a"].Requests, 6)
	is.Equal(r.Tokens, Tokens{Prompt: 2200, Cached: 400, Fetched: 300, Recomputed: 300, Wasted: 700})
	is.Equal(r.Tokens.Prefilled(), 1500)
	p := r.Parts["check"]
	is.Equal(p.Responses, 2)
	is.Equal(p.TTFTMs, 480.0)
	is.Equal(p.RestMs, 480.0-7.5-5-10-2.5)
	is.Equal(len(r.Seconds), 2)
	is.Equal([]int{r.Attempts, r.Retries, r.Orders, r.Skipped}, []int{4, 1, 1, 1})

	var out bytes.Buffer
	is.NoErr(r.WriteTable(&out))
	is.True(strings.Contains(out.String(), "time to first token"))
	file := filepath.Join(t.TempDir(), "day.svg")
	is.NoErr(r.WritePlot(file))
	svg, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(bytes.Contains(svg, []byte("</svg>")))

	_, err = Read(strings.NewReader("nothing\n"))
	is.Equal(err, ErrNoRequests)
}
