package relay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const callerBufferBytes = 2 << 10

var (
	idPrefix   = []byte("id: ")
	dataPrefix = []byte("data: ")
	doneLine   = []byte("data: [DONE]")
)

// caller is one client with its own connection. It reads the connection without
// net/http's goroutines, so that callers add little to the measurements.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
	lines  *bufio.Reader
	prompt string
	offset time.Duration
	ttft   []time.Duration
	sent   []byte
}

func newCaller(address, prompt string) (*caller, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "connecting")
	}
	return &caller{
		conn: conn, prompt: prompt,
		reader: bufio.NewReaderSize(conn, callerBufferBytes),
		lines:  bufio.NewReaderSize(nil, callerBufferBytes),
	}, nil
}

// request runs one completion, checks that all chunks arrive in order and
// appends its time to first token to ttft unless that is nil.
func (c *caller) request(tokens int, ttft *[]time.Duration) error {
	begin := time.Now()
	response, err := c.send(tokens)
	if err != nil {
		return err
	}
	c.lines.Reset(response.Body)
	next := 0
	for {
		line, err := c.lines.ReadSlice('\n')
		if err != nil {
			return eris.Wrapf(ErrIncomplete, "after %d of %d chunks: %v", next, tokens, err)
		}
		if bytes.HasPrefix(line, doneLine) {
			break
		}
		if id, ok := bytes.CutPrefix(line, idPrefix); ok {
			if !isNumber(bytes.TrimSpace(id), next) {
				return eris.Wrapf(ErrIncomplete, "chunk %s instead of %d", bytes.TrimSpace(id), next)
			}
		}
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		if next == 0 && ttft != nil {
			*ttft = append(*ttft, time.Since(begin))
		}
		next++
	}
	if next != tokens {
		return eris.Wrapf(ErrIncomplete, "%d chunks instead of %d", next, tokens)
	}
	_, err = io.Copy(io.Discard, c.lines)
	return err
}

// firstToken starts a completion and returns once its first token arrives.
func (c *caller) firstToken(tokens int) error {
	response, err := c.send(tokens)
	if err != nil {
		return err
	}
	c.lines.Reset(response.Body)
	for {
		line, err := c.lines.ReadSlice('\n')
		if err != nil {
			return eris.Wrap(err, "reading the first token")
		}
		if bytes.HasPrefix(line, dataPrefix) {
			return nil
		}
	}
}

func (c *caller) send(tokens int) (*http.Response, error) {
	c.sent = appendRequest(c.sent[:0], c.prompt, tokens)
	if _, err := c.conn.Write(c.sent); err != nil {
		return nil, eris.Wrap(err, "sending")
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, eris.Wrap(err, "reading the response header")
	}
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, callerBufferBytes))
		return nil, eris.Wrapf(ErrRefused, "status %d: %s", response.StatusCode, body)
	}
	return response, nil
}

// appendRequest appends a request that both the engine and the router accept. The
// prompt must not need escaping.
func appendRequest(b []byte, prompt string, tokens int) []byte {
	body, _ := json.Marshal(map[string]any{"model": modelName, "prompt": prompt, "max_tokens": tokens, "stream": true})
	b = append(b, "POST /v1/completions HTTP/1.1\r\nHost: bench\r\nContent-Type: application/json\r\n"...)
	b = append(b, "Authorization: Bearer "+apiKey+"\r\nX-Cache-Scope: bench/v1/\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

func isNumber(text []byte, n int) bool {
	var b [20]byte
	return bytes.Equal(text, strconv.AppendInt(b[:0], int64(n), 10))
}
