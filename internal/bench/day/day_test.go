package day

import (
	"bytes"
	"fmt"
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

// Guards against reasons that are mixed up, refused attempts that count as cached, and
// parts that count as read again although no engine had them.
func TestReasonsForReadingAgain(t *testing.T) {
	is := is.New(t)
	at := func(ms int, rest string) string {
		return fmt.Sprintf(`{"time":"2026-01-01T00:00:%02d.%03dZ","vm":"v",%s}`+"\n", ms/1000, ms%1000, rest)
	}
	sent := func(ms int, request, target string, weights int, more string) string {
		return at(ms, fmt.Sprintf(`"msg":"sent","request":%q,"target":%q,"weights":%d,"shared":"p:1000 q:300","prompt_tokens":1500,"prefill_ms":50%s`, request, target, weights, more))
	}
	end := func(ms int, request string) string {
		return at(ms, fmt.Sprintf(`"msg":"answered","request":%q,"route":"r","objective_ms":100,"first_event_ms":60`, request))
	}
	text := at(0, `"msg":"weights named","version":1`) +
		sent(100, "r1", "t1", 1, "") + end(900, "r1") + // first
		sent(120, "r2", "t2", 1, "") + end(900, "r2") + // t1 still computes it
		sent(1000, "r3", "t1", 1, "") + end(1900, "r3") + // cached there
		sent(1100, "r4", "t3", 1, `,"elsewhere_tokens":1000,"fetch_from":"t1"`) + end(1900, "r4") + // q only
		sent(1200, "r5", "t4", 1, `,"elsewhere_tokens":1300`) + end(1900, "r5") + // not fetched
		sent(1300, "r6", "t5", 1, "") + at(1310, `"msg":"repeated","request":"r6","why":"target t5 did not run the attempt: overloaded"`) +
		sent(1320, "r6", "t1", 1, "") + end(1900, "r6") + // refused, then cached
		at(2000, `"msg":"weights named","version":2`) +
		sent(2100, "r7", "t6", 1, "") + end(2900, "r7") + // replaced
		sent(2200, "r8", "t1", 2, "") + end(2900, "r8") + // first under the new weights
		sent(30000, "r9", "t9", 1, "") + end(30900, "r9") // long after its last use
	r, err := Read(strings.NewReader(text))
	is.NoErr(err)
	is.Equal(r.Rereads, map[Reread]int{RereadUnfinished: 1300, RereadUnknown: 300, RereadNotFetched: 1300, RereadOutdated: 1300})
	is.Equal(r.Routers["v"].Requests, 9)
}

// Guards against a long line that is counted more than once, or hides the next one.
func TestLongLineIsSkippedOnce(t *testing.T) {
	is := is.New(t)
	long := `{"msg":"` + strings.Repeat("x", 3*maxLineBytes) + `"}` + "\n"
	r, err := Read(strings.NewReader(long + lines))
	is.NoErr(err)
	is.Equal(r.Skipped, 2) // and the malformed one
	is.Equal(r.Attempts, 4)
}
