// Package day reports on a day of the gateway from its log lines: the outcomes of
// requests, the parts of the time to the first token, and the prompt tokens that engines
// computed.
package day

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoRequests is returned if the input has no log line about a request.
var ErrNoRequests = eris.New("the input has no log line about a request")

// maxLineBytes bounds one log line; longer ones are skipped.
const maxLineBytes = 1 << 20

// logLine holds the fields of a log line that the report uses.
type logLine struct {
	Time             time.Time `json:"time"`
	Message          string    `json:"msg"`
	VM               string    `json:"vm"`
	AvailabilityZone string    `json:"availability_zone"`
	Request          string    `json:"request"`
	Route            string    `json:"route"`
	Account          string    `json:"account"`
	Target           string    `json:"target"`
	Why              string    `json:"why"`
	Version          int       `json:"version"`
	Weights          version   `json:"weights"`
	// Shared lists the parts of the prompt that requests may share, as ID:TOKENS.
	Shared          string  `json:"shared"`
	Outcome         string  `json:"outcome"`
	FirstEventMs    float64 `json:"first_event_ms"`
	ObjectiveMs     float64 `json:"objective_ms"`
	QueuedMs        float64 `json:"queued_ms"`
	PromptTokens    int     `json:"prompt_tokens"`
	CachedTokens    int     `json:"cached_tokens"`
	ElsewhereTokens int     `json:"elsewhere_tokens"`
	FetchFrom       string  `json:"fetch_from"`
	QueueMs         float64 `json:"queue_ms"`
	PrefillMs       float64 `json:"prefill_ms"`
	LinkMs          float64 `json:"link_ms"`
}

// version is a weights version. Lines about targets have the versions of all models in
// its place, which the report does not use.
type version int

// UnmarshalJSON implements json.Unmarshaler.
func (v *version) UnmarshalJSON(text []byte) error {
	n, err := strconv.Atoi(string(text))
	if err == nil {
		*v = version(n)
	}
	return nil
}

// Messages of the gateway's log lines that the report uses.
const (
	messageStarting    = "starting"
	messageSent        = "sent"
	messageAnswered    = "answered"
	messageNotAnswered = "not answered"
	messageRepeated    = "repeated"
	messageOrder       = "order"
	messageNamed       = "weights named"
	messageCrashed     = "target crashed"
)

// notRunText is part of the reason of a refusal.
const notRunText = "did not run the attempt"

// Read reads log lines of any number of routers. It ignores text before the first brace
// of a line and lines without a brace. Lines with invalid JSON or without a message, and
// those longer than maxLineBytes, are skipped and counted in the report.
func Read(r io.Reader) (*Report, error) {
	b := newBuilder()
	in := bufio.NewReaderSize(r, maxLineBytes)
	tooLong := false
	for {
		text, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			tooLong = true
			continue
		}
		if tooLong { // its last part
			b.report.Skipped++
			tooLong, text = false, nil
		}
		if at := bytes.IndexByte(text, '{'); at >= 0 {
			var l logLine
			if json.Unmarshal(text[at:], &l) != nil || l.Message == "" {
				b.report.Skipped++
			} else {
				b.add(l)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, eris.Wrap(err, "read log lines")
		}
	}
	if len(b.report.Routes) == 0 {
		return nil, ErrNoRequests
	}
	b.finish()
	return b.report, nil
}
