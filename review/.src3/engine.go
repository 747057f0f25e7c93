package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineModel = "m"
	engineSlots = 64
	// readMs is how long an engine reads a prompt, eventMs the time between two events.
	readMs  = 60
	eventMs = 6
	events  = 13
	// removedAfter is the silence after which the platform removes an entry: three heartbeats.
	removedAfter = 3600 * time.Millisecond
)

// engine is a sound runner of the platform's protocol that serves a model. A request with the part
// bad crashes it as it begins to write the answer; it is back after down, as another instance.
type engine struct {
	lab  *lab
	name string
	bad  string
	down time.Duration
	// begun is told of each request that the engine has begun to answer, crashed of each crash.
	begun, crashed func(request string)

	mu       sync.Mutex
	id       string
	address  string
	start    int
	sequence int
	listener net.Listener
	open     map[net.Conn]bool
}

func (l *lab) startEngine(name, bad string, down time.Duration, begun, crashed func(string)) (*engine, error) {
	e := &engine{lab: l, name: name, bad: bad, down: down, begun: begun, crashed: crashed, address: "127.0.0.1:0"}
	return e, e.boot()
}

// boot starts the engine as a new instance and writes its entry.
func (e *engine) boot() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.start++
	e.id, e.address, e.listener, e.open = fmt.Sprintf("i-%s-%d", e.name, e.start), listener.Addr().String(), listener, map[net.Conn]bool{}
	e.sequence = 1
	e.mu.Unlock()
	e.writeEntry()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.open[c] = true
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
	return nil
}

func (e *engine) writeEntry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, _ := json.Marshal(map[string]any{"Service": "llm", "Address": e.address, "Zone": "z", "Version": "s1", "Slots": engineSlots,
		"State": "ready", "ColdRemainingMs": 0, "Sequence": e.sequence, "born": time.Now().UnixMilli(),
		"Models": []any{map[string]any{"Name": engineModel, "Version": 1, "Adapters": []any{}}}})
	e.lab.log.PutKeyed("keyed.servers", e.id, entry)
}

// crash ends the engine without a word.
func (e *engine) crash(request string) {
	e.mu.Lock()
	if e.listener == nil {
		e.mu.Unlock()
		return
	}
	_ = e.listener.Close()
	for c := range e.open {
		_ = c.Close()
	}
	id := e.id
	e.listener, e.open = nil, nil
	e.mu.Unlock()
	e.lab.note("engine %s crashes under %s", id, request)
	e.crashed(request)
	time.AfterFunc(removedAfter, func() { e.lab.log.PutKeyed("keyed.servers", id, nil) })
	time.AfterFunc(e.down, func() {
		if err := e.boot(); err != nil {
			e.lab.note("engine %s does not start: %v", e.name, err)
		}
	})
}

func (e *engine) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !e.answer(c, r) {
			return
		}
	}
}

func whole(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

func (e *engine) answer(c net.Conn, r *http.Request) bool {
	write := func(text string) bool { _, err := io.WriteString(c, text); return err == nil }
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		return write(whole("421 Misdirected Request", "X-Instance-Id: "+id+"\r\n", ""))
	}
	switch r.URL.Path {
	case "/-/report":
		return write(whole("200 OK", "Content-Type: application/json\r\n", `{"Stage":"unified","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Sequence":0,"Waiting":0,"Running":1,"KvUsed":0,"KvTotal":99532,"Handles":0}`))
	case "/-/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
		return write(whole("200 OK", "Content-Type: application/json\r\n", `{"BootEpoch":1,"NextToken":1,"Lost":false,"Events":[]}`))
	}
	request := r.Header.Get("X-Request-Id")
	time.Sleep(readMs * time.Millisecond)
	if e.bad != "" && strings.Contains(r.Header.Get("X-Prompt-Prefix"), e.bad+":") {
		e.crash(request)
		return false
	}
	e.begun(request)
	if !write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + request + "\r\nX-Response-Stamp: s." + id + "\r\nX-Weight-Versions: 1\r\nX-Instance-Load: 1,0,64\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	for i := 1; i <= events; i++ {
		event := fmt.Sprintf("id: %d\ndata: token\n\n", i)
		if !write(fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			return false
		}
		time.Sleep(eventMs * time.Millisecond)
	}
	return write("0\r\n\r\n")
}
