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

// link passes bytes between a router and the log until it is cut. While it is cut it passes none in
// either direction and says nothing, as a partition does.
type link struct {
	to       string
	listener net.Listener

	mu  sync.Mutex
	cut bool
	now *sync.Cond
}

func newLink(to string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{to: to, listener: l}
	k.now = sync.NewCond(&k.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.pass(c)
		}
	}()
	return k, nil
}

func (k *link) set(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	k.now.Broadcast()
}

func (k *link) wait() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.cut {
		k.now.Wait()
	}
}

func (k *link) pass(c net.Conn) {
	k.wait()
	d, err := net.Dial("tcp", k.to)
	if err != nil {
		_ = c.Close()
		return
	}
	copyTo := func(to, from net.Conn) {
		defer to.Close()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			k.wait()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go copyTo(d, c)
	copyTo(c, d)
}

// cachingEngine is a sound model runner that keeps parts of prompts under their salt, and who made
// them.
type cachingEngine struct {
	id   string
	lab  *lab
	mu   sync.Mutex
	made map[string]string // salt and part -> tenant
	// used holds, by request, the tenants whose parts it has used.
	used map[string][]string
}

func (e *cachingEngine) serve(c net.Conn) {
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
		if _, err := io.WriteString(c, e.answer(r)); err != nil {
			return
		}
	}
}

func (e *cachingEngine) answer(r *http.Request) string {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		return whole("421 Misdirected Request", "X-Instance-Id: "+e.id+"\r\n", "")
	}
	switch r.URL.Path {
	case "/-/report":
		return whole("200 OK", "Content-Type: application/json\r\n", `{"Stage":"unified","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Sequence":0,"Waiting":0,"Running":1,"KvUsed":0,"KvTotal":99532,"Handles":0}`)
	case "/-/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
		return whole("200 OK", "Content-Type: application/json\r\n", `{"BootEpoch":1,"NextToken":1,"Lost":false,"Events":[]}`)
	}
	time.Sleep(readMs * time.Millisecond)
	request, tenant, salt := r.Header.Get("X-Request-Id"), r.Header.Get("X-Tenant"), r.Header.Get("X-Cache-Salt")
	e.mu.Lock()
	found := true
	for entry := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		part, _, _ := strings.Cut(entry, ":")
		key := salt + " " + part
		maker, kept := e.made[key]
		if found = found && kept; found {
			e.used[request] = append(e.used[request], maker)
		}
		if !kept {
			e.made[key] = tenant
		}
	}
	e.lab.note("runner: %s of %s under salt %q uses parts made by %v", request, tenant, salt, e.used[request])
	e.mu.Unlock()
	return whole("200 OK", "Content-Type: text/event-stream\r\nX-Request-Id: "+request+"\r\nX-Response-Stamp: s."+e.id+"\r\nX-Weight-Versions: 1\r\n", "id: 1\ndata: token\n\n")
}

const (
	wallCut       = 5500 * time.Millisecond
	configApplyMs = 2500 * time.Millisecond
)

// playWall isolates a tenant while the router is cut from the log, and then asks with the prompt of
// another tenant.
func playWall(l *lab) (bool, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer listener.Close()
	e := &cachingEngine{id: "i-lm1", lab: l, made: map[string]string{}, used: map[string][]string{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	configure := func(version int, isolated bool) {
		l.log.PutKeyed("keyed.op", "config", fmt.Appendf(nil, `{"Version":%d,"Routes":[{"Name":"check","Host":"h","PathPrefix":"/check/","Kind":"streaming","TimeoutMs":6000,"TargetLatencyMs":800,"GapAimMs":400,"Service":"llm","MaxAttempts":2,"Resumable":true,"StickySessions":true,"Priority":1}],
			"Services":[{"Name":"llm","Engine":{"Slots":64,"KvCapacity":99532,"KvTokenBytes":327680,"LinkMbps":260000,"MaxInFlight":4}}],
			"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":20000},
			"Tenants":[{"Name":"u","ApiKeys":["ku"],"Isolated":false},{"Name":"v","ApiKeys":["kv"],"Isolated":false},{"Name":"t","ApiKeys":["kt"],"Isolated":%v}]}`, version, isolated))
	}
	configure(3, false)
	entry, _ := json.Marshal(map[string]any{"Service": "llm", "Address": listener.Addr().String(), "Zone": "z", "Version": "s1", "Slots": engineSlots, "State": "ready", "ColdRemainingMs": 0,
		"Sequence": 1, "born": time.Now().UnixMilli(), "Models": []any{map[string]any{"Name": engineModel, "Version": 1, "Adapters": []any{}}}})
	l.log.PutKeyed("keyed.servers", e.id, entry)
	k, err := newLink(strings.TrimPrefix(l.server.URL, "http://"))
	if err != nil {
		return false, err
	}
	defer k.listener.Close()
	l.logAddress = k.listener.Addr().String()
	r, err := l.startRouter("front-1")
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	n := 0
	ask := func(tenant string) (id string, status int) {
		n++
		id = fmt.Sprintf("%s-%d", tenant, n)
		status, _, _, err := send(r.front, fmt.Sprintf("POST /check/%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Key: k%s\r\nX-Deadline-Ms: 6000\r\nX-Model: m\r\nX-Token-Usage: 3000,13\r\nX-Prompt-Prefix: 5a5a:300,d0c1:2500,%x:200\r\nContent-Length: %d\r\n\r\n%s",
			id, id, tenant, 0x1000+n, len(id), id), 8*time.Second)
		l.note("client: %s answered %d %v", id, status, err)
		return id, status
	}
	if _, status := ask("u"); status != http.StatusOK {
		return false, fmt.Errorf("the first request was not served")
	}
	if l.trouble {
		k.set(true)
		l.note("the router is cut from the log")
	}
	cutAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	configure(5, true)
	confirmed := time.Now()
	l.note("the operator has isolated t: confirmed")
	broken, served := false, 0
	for time.Since(cutAt) < wallCut+3*time.Second {
		if l.trouble && time.Since(cutAt) > wallCut {
			k.set(false)
		}
		if time.Since(confirmed) > configApplyMs+100*time.Millisecond {
			id, status := ask("t")
			if status == http.StatusOK {
				served++
			}
			e.mu.Lock()
			for _, maker := range e.used[id] {
				if maker != "t" {
					broken = true
				}
			}
			e.mu.Unlock()
		}
		time.Sleep(200 * time.Millisecond)
	}
	if served == 0 {
		return false, fmt.Errorf("no request of t was served")
	}
	return broken, nil
}
