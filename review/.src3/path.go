package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// plainRunner is a sound runner of a plain service that keeps each request line as it arrives.
type plainRunner struct {
	id string

	mu    sync.Mutex
	lines map[string]string
}

func (p *plainRunner) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	text := textproto.NewReader(in)
	for {
		line, err := text.ReadLine()
		if err != nil {
			return
		}
		head, err := text.ReadMIMEHeader()
		if err != nil {
			return
		}
		length, _ := strconv.ParseInt(head.Get("Content-Length"), 10, 64)
		if _, err := io.CopyN(io.Discard, in, length); err != nil {
			return
		}
		h := http.Header(head)
		if expected := h.Get("X-Expect-Instance"); expected != "" && expected != p.id {
			_, _ = io.WriteString(c, whole("421 Misdirected Request", "X-Instance-Id: "+p.id+"\r\n", ""))
			continue
		}
		request := h.Get("X-Request-Id")
		p.mu.Lock()
		p.lines[request] = line
		p.mu.Unlock()
		if _, err := io.WriteString(c, whole("200 OK", "X-Request-Id: "+request+"\r\nX-Response-Stamp: s."+p.id+"\r\n", "ran")); err != nil {
			return
		}
	}
}

// playPath sends requests of a route whose prefix is "/" and compares the request line that the
// runner gets with the one that the client sent.
func playPath(l *lab) (bool, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer listener.Close()
	runner := &plainRunner{id: "i-desk1", lines: map[string]string{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go runner.serve(c)
		}
	}()
	l.log.PutKeyed("keyed.op", "config", []byte(`{"Version":1,"Routes":[{"Name":"all","Host":"h","PathPrefix":"/","Kind":"non_idempotent","TimeoutMs":2000,"TargetLatencyMs":200,"Service":"desk","MaxAttempts":1}],
		"Services":[{"Name":"desk"}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":20000},"Tenants":[{"Name":"t1","ApiKeys":["k1"]}]}`))
	entry, _ := json.Marshal(map[string]any{"Service": "desk", "Address": listener.Addr().String(), "Zone": "z", "Version": "s1", "Slots": 6,
		"State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": time.Now().UnixMilli()})
	l.log.PutKeyed("keyed.servers", runner.id, entry)
	r, err := l.startRouter("front-1")
	if err != nil {
		return false, err
	}
	paths := []string{"/orders/7?a=1", "/orders//8", "/orders/?path=//x"}
	if l.trouble {
		paths = append(paths, "//orders/9?a=1", "//orders.example/cancel/9")
	}
	broken, answered := false, 0
	for i, path := range paths {
		id := fmt.Sprintf("r%d", i)
		sent := "POST " + path + " HTTP/1.1"
		status, _, _, err := send(r.front, sent+"\r\nHost: h\r\nX-Request-Id: "+id+"\r\nX-Key: k1\r\nX-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nab", 5*time.Second)
		runner.mu.Lock()
		got := runner.lines[id]
		runner.mu.Unlock()
		l.note("%s sent %q, answered %d %v, the runner ran %q", id, sent, status, err, got)
		if status == http.StatusOK {
			answered++
		}
		broken = broken || got != "" && !strings.EqualFold(got, sent)
	}
	if answered == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return broken, nil
}
