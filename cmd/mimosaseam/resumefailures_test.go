package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

const (
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
	errorHead   = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\noverloaded\r\n"
	errorPage   = "<html>\n<head><title>502 Bad Gateway</title></head>\n\n<body>nginx</body>\n\n</html>\n\n"
)

var engineFields = []string{platformtest.ModelHeader, platformtest.Model, platformtest.PromptHeader, "a:10,b:5", platformtest.TokensHeader, "15,2"}

// chunk returns one chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// notEvents are texts that are no part of an event stream.
func notEvents() map[string]string {
	return map[string]string{
		"a head":              errorHead,
		"a page":              errorPage,
		"a page on one line":  "<html><body><p>Error: 500</p></body></html>\n\n",
		"JSON":                "{\"error\": {\"type\": \"overloaded\"}}\n\n",
		"a JSON string":       "\"overloaded\"\n\n",
		"a message":           "upstream connect error or disconnect/reset before headers. reset reason: connection failure\n\n",
		"a message in a line": "Error: overloaded\r\n\r\n",
		"one word":            "overloaded\n\n",
		"other bytes":         "\x00\x01\xff\n\n",
		"a message at last":   "id: 2\noverloaded\n\n",
	}
}

// Guards against the text or the head of an error in the middle of a stream, and against a
// stream that ends as complete, when the target that is to continue it does not.
func TestStreamIsNotContinuedByAnError(t *testing.T) {
	type answer struct{ head, body string }
	whole := func(status, contentType, body string) answer {
		return answer{status + "\r\nContent-Type: " + contentType + fmt.Sprintf("\r\nContent-Length: %d", len(body)), body}
	}
	answers := map[string]answer{
		"redirect":                  whole("301 Moved", "text/html", errorPage),
		"not modified":              {"304 Not Modified", ""},
		"no content":                {"204 No Content", ""},
		"partial content":           whole("206 Partial Content", "text/event-stream", secondEvent),
		"another success":           whole("202 Accepted", "text/event-stream", secondEvent),
		"page as a success":         whole("200 OK", "text/html", errorPage),
		"JSON as a success":         whole("200 OK", "application/json", "{\"error\":1}\n\n"),
		"text as a success":         whole("200 OK", "text/plain; charset=utf-8", secondEvent),
		"events in another type":    whole("200 OK", "application/octet-stream", secondEvent),
		"empty":                     whole("200 OK", "text/event-stream", ""),
		"empty, in chunks":          {"200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked", "0\r\n\r\n"},
		"empty, ends in a close":    {"200 OK\r\nContent-Type: text/event-stream\r\nConnection: close", ""},
		"blank lines":               whole("200 OK", "text/event-stream", "\n\n\n"),
		"comments":                  whole("200 OK", "text/event-stream", ": alive\n\n: alive\n\n"),
		"refusal":                   {"503 Full\r\n" + platformtest.NotRunField + "\r\nContent-Length: 4", "full"},
		"misdirected":               {"421 Other\r\nContent-Length: 5", "other"},
		"a gap":                     whole("200 OK", "text/event-stream", "id: 3\ndata: c\n\n"),
		"a head cut off":            {"503 Ful", ""},
		"a page, ends in a close":   {"200 OK\r\nConnection: close", errorPage},
		"a head instead of a chunk": {"200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked", errorHead},
	}
	for _, status := range []string{"404 Not Found", "429 Slow", "500 Failed", "503 Full"} {
		answers[status] = whole(status, "text/plain", "the error's text\n\n")
		answers[status+" as events"] = whole(status, "text/event-stream", secondEvent)
	}
	answers["500, in chunks"] = answer{"500 Failed\r\nTransfer-Encoding: chunked", chunk("the error's text\n\n") + "0\r\n\r\n"}
	answers["500, empty"] = whole("500 Failed", "text/plain", "")
	for what, text := range notEvents() {
		answers[what+" as a stream"] = whole("200 OK", "text/event-stream", text)
	}
	for name, second := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			engines := engineSequence(t, func(conn *platformtest.RawConn, r *http.Request, n int64) bool {
				if n == 1 {
					conn.Send(platformtest.Head(r, "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked") + chunk(firstEvent))
					return false
				}
				if r.Header.Get("Last-Event-Id") != "1" {
					t.Error("not resumed behind the first event")
				}
				return conn.Send(platformtest.Head(r, second.head)+second.body) && second.head != "503 Ful" && !strings.Contains(second.head, "close")
			})
			s := newFaultGateway(t, nil, engines)
			status, body, complete := s.call("r1", "/check/", engineFields...)
			is.Equal(status, http.StatusOK)
			if strings.Trim(second.body, "\n") == "" || strings.HasPrefix(second.body, ":") {
				is.True(body == firstEvent || body == firstEvent+second.body) // nothing that a client would see
			} else {
				is.Equal(body, firstEvent)
			}
			is.True(!complete)
		})
	}
}

// engineSequence returns two engines that give the answers in the order of the requests.
func engineSequence(t *testing.T, answer func(conn *platformtest.RawConn, r *http.Request, n int64) bool) []*platformtest.RawTarget {
	t.Helper()
	var requests atomic.Int64
	counted := func(conn *platformtest.RawConn, r *http.Request, _ int) bool { return answer(conn, r, requests.Add(1)) }
	return []*platformtest.RawTarget{newRawTarget(t, "e8", platformtest.Model, counted), newRawTarget(t, "e9", platformtest.Model, counted)}
}

// Guards against text in the middle of a stream that is none of its events, whatever carries
// it: nothing of it may be relayed, and a stream that may be resumed goes on elsewhere.
func TestErrorInTheMiddleOfAStreamIsNotRelayed(t *testing.T) {
	carriers := map[string]func(r *http.Request, text string) string{
		"length, more to come": func(r *http.Request, text string) string {
			return platformtest.Head(r, "200 OK", "Content-Type: text/event-stream", "Content-Length: 9999") + text
		},
		"chunks": func(r *http.Request, text string) string {
			return platformtest.Head(r, "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked") + chunk(text) + "0\r\n\r\n"
		},
		"end of the connection": func(r *http.Request, text string) string {
			return platformtest.Head(r, "200 OK", "Content-Type: text/event-stream", "Connection: close") + text
		},
	}
	for what, text := range notEvents() {
		for carrier, encode := range carriers {
			for path, want := range map[string]string{"/brief/": firstEvent, "/check/": firstEvent + secondEvent} {
				t.Run(what+", "+carrier+", "+path, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					engines := engineSequence(t, func(conn *platformtest.RawConn, r *http.Request, n int64) bool {
						if n == 1 {
							conn.Send(encode(r, firstEvent+text+secondEvent))
							return false
						}
						return conn.Send(platformtest.Whole(r, secondEvent))
					})
					s := newFaultGateway(t, nil, engines)
					status, body, complete := s.call("r1", path, engineFields...)
					is.Equal(status, http.StatusOK)
					is.Equal(body, want)
					is.Equal(complete, path == "/check/")
				})
			}
		}
	}
}

// Guards against sound streams that count as broken: fields of other extensions, comments,
// line ends of all kinds, a byte order mark.
func TestUnusualSoundStreamsAreRelayed(t *testing.T) {
	for name, text := range map[string]string{
		"comments":              ": alive\n\n" + firstEvent + ":\n\n" + secondEvent,
		"fields without values": "id: 1\ndata\n\nid: 2\nevent\ndata\n\n",
		"other fields":          "x-weight-versions: 3\nid: 1\nx_new-2: a\ndata: a\nretry: 5\n\n" + secondEvent,
		"carriage returns":      "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		"text like an error":    "id: 1\ndata: HTTP/1.1 503 Full\ndata: <html>\n\nid: 2\ndata: {\"error\":1}\n\n",
		"a byte order mark":     "\ufeffevent: x\ndata: a\n\n" + secondEvent,
		"blank lines":           "\n" + firstEvent + "\n\n" + secondEvent + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			engines := engineSequence(t, func(conn *platformtest.RawConn, r *http.Request, _ int64) bool {
				return conn.Send(platformtest.Whole(r, text))
			})
			s := newFaultGateway(t, nil, engines)
			status, body, complete := s.call("r1", "/check/", engineFields...)
			is.Equal(status, http.StatusOK)
			is.Equal(body, text)
			is.True(complete)
			is.Equal(engines[0].Requests()+engines[1].Requests(), 1)
		})
	}
}
