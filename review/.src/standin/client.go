package standin

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// Host is the host of all routes of the cases.
const Host = "jepu9.example"

// Answer is the final answer to a request.
type Answer struct {
	ID     string
	Sent   time.Time
	Status int
	Header http.Header
	Body   string
	Err    error
}

// Client is a client of a router that keeps its channel for its next request.
type Client struct {
	front string
	http  http.Client
}

// NewClient returns a client of the router with the address.
func NewClient(front string) *Client {
	return &Client{front: front, http: http.Client{Timeout: 20 * time.Second,
		Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}}
}

// Send sends one request with an id of its own and returns its answer.
func (c *Client) Send(record *Record, method, path string, header map[string]string, body string) Answer {
	a := Answer{ID: RandomID()}
	q, err := http.NewRequest(method, "http://"+c.front+path, strings.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	q.Host = Host
	q.Header.Set("X-Request-Id", a.ID)
	for name, value := range header {
		q.Header.Set(name, value)
	}
	a.Sent = time.Now()
	response, err := c.http.Do(q)
	if err != nil {
		a.Err = err
		record.Add("sent %s %s id %s key %s: no answer, %v", method, path, a.ID, header["X-Key"], err)
		return a
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	a.Status, a.Header, a.Body, a.Err = response.StatusCode, response.Header, string(text), err
	record.Add("sent %s %s id %s key %s: answered %d after %d ms", method, path, a.ID, header["X-Key"], a.Status, time.Since(a.Sent).Milliseconds())
	return a
}
