package platformhttp

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Log is a client of the platform's log service. It implements port.Log.
type Log struct{ caller caller }

// NewLog returns a client of the log service.
func NewLog(o Options) *Log { return &Log{caller: newCaller("platform log", o)} }

type newRecord struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

type storedRecord struct {
	Offset     port.Offset `json:"offset"`
	ID         string      `json:"id"`
	AppendedAt time.Time   `json:"appended_at"`
	Data       []byte      `json:"data"`
}

type readResponse struct {
	Records []storedRecord `json:"records"`
	Next    port.Offset    `json:"next"`
	Oldest  port.Offset    `json:"oldest"`
}

// Append implements port.Log.
func (l *Log) Append(ctx context.Context, stream string, records []port.Record) (first port.Offset, err error) {
	ctx, span := l.caller.tracer.Start(ctx, "platform append", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("stream", stream), attribute.Int("records", len(records))))
	defer func() { endSpan(span, err) }()
	in := struct {
		Records []newRecord `json:"records"`
	}{Records: make([]newRecord, len(records))}
	for i, r := range records {
		in.Records[i] = newRecord{ID: r.ID, Data: r.Data}
	}
	var out struct {
		FirstOffset port.Offset `json:"first_offset"`
	}
	resp, err := l.caller.doJSON(ctx, request{method: http.MethodPost, path: recordsPath(stream)}, in, &out)
	if err != nil {
		return 0, err
	}
	if err := l.caller.checkStatus(resp); err != nil {
		return 0, err
	}
	if out.FirstOffset == 0 {
		return 0, l.caller.unknown(ErrInvalidResponse)
	}
	return out.FirstOffset, nil
}

// Read implements port.Log. When the response exceeds the size limit, it requests
// fewer records, so that large records cannot block a reader.
func (l *Log) Read(ctx context.Context, stream string, from port.Offset, limit int, wait time.Duration) (port.Batch, error) {
	from = max(from, 1)
	start := time.Now()
	for {
		b, err := l.read(ctx, stream, from, limit, wait)
		var large *ResponseTooLargeError
		if limit <= 1 || !errors.As(err, &large) {
			l.traceRead(ctx, start, stream, b, err)
			return b, err
		}
		limit /= 2
	}
}

// traceRead records a span for a read unless it was an idle long poll. Without
// traffic most reads are idle, and their spans would outnumber all others.
func (l *Log) traceRead(ctx context.Context, start time.Time, stream string, b port.Batch, err error) {
	if err == nil && len(b.Records) == 0 {
		return
	}
	_, span := l.caller.tracer.Start(ctx, "platform read", trace.WithTimestamp(start),
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("stream", stream), attribute.Int("records", len(b.Records))))
	endSpan(span, err)
}

func (l *Log) read(ctx context.Context, stream string, from port.Offset, limit int, wait time.Duration) (port.Batch, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatUint(uint64(from), 10))
	q.Set("limit", strconv.Itoa(limit))
	q.Set("wait_ms", strconv.FormatInt(max(wait, 0).Milliseconds(), 10))
	var out readResponse
	r := request{method: http.MethodGet, path: recordsPath(stream) + "?" + q.Encode(), extraTimeout: max(wait, 0)}
	resp, err := l.caller.doJSON(ctx, r, nil, &out)
	if err != nil {
		return port.Batch{}, err
	}
	if resp.status == http.StatusGone {
		return port.Batch{}, l.expired(resp, stream, from)
	}
	if err := l.caller.checkStatus(resp); err != nil {
		return port.Batch{}, err
	}
	return l.batch(out, from)
}

// batch converts a read response and checks that its records are dense from the
// requested offset on: a gap would silently skip records of the log.
func (l *Log) batch(out readResponse, from port.Offset) (port.Batch, error) {
	b := port.Batch{Next: out.Next, Oldest: out.Oldest}
	for i, r := range out.Records {
		if r.Offset != from+port.Offset(i) {
			return port.Batch{}, l.caller.unknown(eris.Wrapf(ErrInvalidResponse, "record %d has offset %d", i, r.Offset))
		}
		b.Records = append(b.Records, port.Record{Offset: r.Offset, ID: r.ID, AppendedAt: r.AppendedAt, Data: r.Data})
	}
	if out.Next != from+port.Offset(len(out.Records)) {
		return port.Batch{}, l.caller.unknown(eris.Wrapf(ErrInvalidResponse, "next offset is %d", out.Next))
	}
	return b, nil
}

// expired converts a response with status 410 to an ExpiredError.
func (l *Log) expired(resp response, stream string, from port.Offset) error {
	var out struct {
		Oldest port.Offset `json:"oldest"`
	}
	if json.Unmarshal(resp.body, &out) != nil || out.Oldest <= from {
		return l.caller.unknown(eris.Wrap(ErrInvalidResponse, "expired without a later oldest offset"))
	}
	return &port.ExpiredError{Stream: stream, From: from, Oldest: out.Oldest}
}

func recordsPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}
