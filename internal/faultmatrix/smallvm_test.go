package faultmatrix

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/harness"
	"mimosaseam.example/mimosaseam/internal/standin/crowd"
	"mimosaseam.example/mimosaseam/internal/standin/rawhttp"
)

// The limits of the router on the smallest VM, and the crowds.
const (
	smallMemoryMB = 88
	// smallMaxConnections and smallMaxFDs are those of crowdMaxFDs on a larger scale.
	smallMaxConnections = 512
	smallMaxFDs         = 2 * smallMaxConnections
	smallMaxBody        = 4 << 20
	smallCallers        = 400
	// manyConnections is more than the router may have descriptors.
	manyConnections = smallMaxFDs + smallMaxFDs/4
	// unlimitedHead is the length of a head that no limit of the settings applies to.
	unlimitedHead = 900 << 10
	// largeCall is the body of an ordinary call that is larger than most.
	largeCall = 200 << 10
	// keptReply is the size of a reply that is kept for repetitions of its call.
	keptReply = 60 << 10
	// The replies of all rounds are more than the memory of the VM holds.
	keptClients, keptCalls, keptRounds = 100, 20, 6
)

// smallSystem is one router on the smallest VM with its stand-ins.
type smallSystem struct {
	t           *testing.T
	sys         *harness.System
	router      *harness.Router
	client      *http.Client
	scheme      string
	open        func(address string, clients int, act crowd.Act) *crowd.Crowd
	admin       string
	memory      *harness.MemoryWatch
	descriptors *harness.DescriptorWatch
}

func startSmallSystem(t *testing.T, secure bool) *smallSystem {
	t.Helper()
	is := is.New(t)
	s := &smallSystem{t: t, scheme: "http", open: crowd.Open}
	// Each ordinary call has a connection of its own: kept ones say nothing of new clients.
	transport := &http.Transport{DisableKeepAlives: true}
	callers := map[string]any{"body_bytes": smallMaxBody, "connections": smallMaxConnections}
	if secure {
		certFile, keyFile := writeCertificate(t)
		callers["tls"] = map[string]string{"cert_file": certFile, "key_file": keyFile}
		transport.TLSClientConfig = &tls.Config{InsecureSkipVerify: true}
		s.scheme, s.open = "https", crowd.OpenTLS
	}
	s.client = &http.Client{Transport: transport, Timeout: waitTimeout / 2}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var err error
	s.sys, err = harness.Start(ctx, harness.Options{BinDir: binaries, Dir: t.TempDir(), Routers: 1, Engines: 1,
		Callers: callers, Resources: map[string]any{"memory_mb": smallMemoryMB}})
	t.Cleanup(s.sys.Close)
	is.NoErr(err)
	s.router = s.sys.Routers[0]
	u, err := url.Parse(s.router.AdminURL)
	is.NoErr(err)
	s.admin = u.Host
	app, err := rawhttp.New(answerBySize)
	is.NoErr(err)
	t.Cleanup(app.Close)
	_, err = s.sys.PutConfig(ctx, map[string]any{"/demo/pools/app": map[string]any{"kind": "service", "targets": []any{
		map[string]any{"name": "app-1", "address": app.Address(), "region": "north", "availability_zone": "north-a"}}}},
		"--wait", "--router", s.router.AdminURL)
	is.NoErr(err)
	s.awaitAnswer("before the crowd", 500)
	s.descriptors = harness.WatchDescriptors(s.router.PID())
	s.memory = harness.WatchMemory(s.router.PID(), s.router.CallerAddress(), s.admin)
	return s
}

// answerBySize answers calls of /large, and those of /kept with a reply that is kept.
func answerBySize(c *rawhttp.Conn, r *http.Request) bool {
	body := "ran"
	switch {
	case strings.HasPrefix(r.URL.Path, "/large"):
		body = strings.Repeat("x", crowdAnswer)
	case strings.HasPrefix(r.URL.Path, "/kept"):
		body = strings.Repeat("x", keptReply)
	}
	return c.Send("HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n") && c.Send(body)
}

// writeCertificate writes a self-signed certificate and its key.
func writeCertificate(t *testing.T) (certFile, keyFile string) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	dir := t.TempDir()
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	is.NoErr(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	return certFile, keyFile
}

// ordinary sends an ordinary call with a body of the size and reports whether it is answered.
func (s *smallSystem) ordinary(size int) bool {
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.scheme+"://"+s.router.CallerAddress()+"/svc/lookup/x", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+harness.APIKey(harness.AccountOne))
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *smallSystem) awaitAnswer(when string, size int) {
	s.t.Helper()
	if harness.Poll(s.t.Context(), waitTimeout, func() bool { return s.ordinary(size) }) != nil {
		s.t.Fatalf("no answer %s: %s", when, s.router.Tail())
	}
}

// check checks that the router lives and has stayed within its machine.
func (s *smallSystem) check() {
	s.t.Helper()
	is := is.New(s.t)
	most, descriptors := s.memory.MostMB(), s.descriptors.Most()
	peak, err := harness.PeakMemoryMB(s.router.PID())
	is.NoErr(err) // the process lives
	s.t.Logf("peak %d MB, %d MB with the kernel's buffers, %d descriptors", peak, most, descriptors)
	is.True(peak < smallMemoryMB)
	is.True(most < smallMemoryMB)
	is.True(descriptors < smallMaxFDs)
	is.Equal(s.sys.UnexpectedExits(), nil)
}

// underSmallCrowd plays a crowd on one port of a router.
func underSmallCrowd(t *testing.T, secure bool, c smallCrowd) {
	s := startSmallSystem(t, secure)
	address, open := s.router.CallerAddress(), s.open
	if c.admin {
		address, open = s.admin, crowd.Open
	}
	if c.unencrypted {
		open = crowd.Open
	}
	clients := open(address, c.clients, c.act)
	defer clients.Close()
	clients.Wait()
	s.awaitAnswer("beside the crowd", max(c.ordinary, 500))
	clients.Close()
	s.awaitAnswer("after the crowd", max(c.ordinary, 500))
	if s.sys.AwaitReady(t.Context(), s.router) != nil {
		t.Error("not ready after the crowd")
	}
	s.check()
}

// smallCrowd is a crowd of clients of one port.
type smallCrowd struct {
	clients int
	act     crowd.Act
	// admin is set for the port of operators.
	admin bool
	// unencrypted is set for clients that do not begin TLS.
	unencrypted bool
	// ordinary is the size of the body of an ordinary call, 0: small.
	ordinary int
}

func runSmallCrowds(t *testing.T, secure bool, crowds map[string]smallCrowd) {
	t.Helper()
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) { underSmallCrowd(t, secure, c) })
	}
}

func callerHead(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + harness.APIKey(harness.AccountTwo) + "\r\n"
}

// announced returns a complete request with the body.
func announced(path, body string) string {
	return callerHead(http.MethodPost, path) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// list returns a JSON list of the item that makes a body almost as large as allowed.
func list(item string) string {
	return "[" + strings.Repeat(item+",", (smallMaxBody-1<<10)/(len(item)+1)) + item + "]"
}

// Guards against a router that runs out of memory because of bodies that take many times their
// size once they are decoded.
func TestServeBodiesOfManyValues(t *testing.T) {
	chat := func(messages string) crowd.Act {
		return crowd.Times(1, announced("/v1/chat/completions", `{"model":"`+harness.Model+`","messages":`+messages+`}`))
	}
	plain := func(fields string) crowd.Act {
		return crowd.Times(1, announced("/v1/completions", `{"model":"`+harness.Model+`",`+fields+`}`))
	}
	runSmallCrowds(t, false, map[string]smallCrowd{
		"empty messages":           {clients: 1, act: chat(list("{}"))},
		"empty parts of a message": {clients: 1, act: chat(`[{"role":"a","content":` + list("{}") + `}]`)},
		"messages of a role":       {clients: 1, act: chat(list(`{"role":"a"}`))},
		"parts of a letter":        {clients: 1, act: chat(`[{"role":"a","content":` + list(`{"type":"text","text":"a"}`) + `}]`)},
		"empty prompts":            {clients: 1, act: plain(`"prompt":` + list(`""`))},
		"unknown fields":           {clients: 1, act: plain(`"prompt":"a","more":` + list("{}"))},
		"deep lists":               {clients: 1, act: plain(`"prompt":` + strings.Repeat("[", smallMaxBody-1<<10))},
		"bytes that are no text":   {clients: 1, act: chat(`[{"role":"a","content":"` + strings.Repeat("\xff", smallMaxBody-1<<10) + `"}]`)},
		"a crowd of all":           {clients: 8, act: chat(list(`{"role":"a"}`))},
	})
}

// Guards against connections that are held for ever by bodies of requests that the server
// answers itself.
func TestServeBodiesOfServerRequests(t *testing.T) {
	runSmallCrowds(t, false, map[string]smallCrowd{
		"announced": {clients: manyConnections, act: crowd.Text("OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 4096\r\n\r\nx")},
		"chunked":   {clients: manyConnections, act: crowd.Text("OPTIONS * HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")},
	})
}

// Guards against heads that are not counted because empty lines stand before them.
func TestServeHeadsBehindEmptyLines(t *testing.T) {
	runSmallCrowds(t, false, map[string]smallCrowd{
		"behind a call": {clients: smallCallers, act: crowd.Ask(announced("/svc/lookup/x", "x"), crowd.Parts("\r\n\r\n", callerHead(http.MethodPost, "/svc/lookup/x")+crowd.ShortFields(28<<10)))},
	})
}

// Guards against a router that runs out of memory or descriptors because of the clients of its
// port for operators.
func TestServeCrowdsOfTheAdminPort(t *testing.T) {
	get := "GET /v1/status HTTP/1.1\r\nHost: h\r\n"
	explain := "POST /v1/explain HTTP/1.1\r\nHost: h\r\n"
	runSmallCrowds(t, false, map[string]smallCrowd{
		"connections without a byte":       {admin: true, clients: manyConnections, act: crowd.Text("")},
		"connections after an answer":      {admin: true, clients: manyConnections, act: crowd.Times(1, get+"\r\n")},
		"heads without end":                {admin: true, clients: smallCallers, act: crowd.Text(get + crowd.ShortFields(unlimitedHead))},
		"empty lines without end":          {admin: true, clients: smallCallers, act: crowd.Repeat(strings.Repeat("\r\n", 1<<10))},
		"announced bodies short of an end": {admin: true, clients: manyConnections, act: crowd.Announced(get, 1<<30, 100)},
		"explanations short of their end":  {admin: true, clients: smallCallers, act: explanation(explain, 3<<20)},
		"answers that are not read":        {admin: true, clients: manyConnections, act: crowd.Repeat("GET /debug/vars HTTP/1.1\r\nHost: h\r\n\r\n")},
	})
}

// explanation sends a request for an explanation whose prompt does not end.
func explanation(head string, size int) crowd.Act {
	return crowd.Text(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", size+1) + `{"prompt":"` + strings.Repeat("x", size-len(`{"prompt":"`)))
}

// Guards against replies that are kept for repetitions and take more memory than there is.
func TestServeManyKeptReplies(t *testing.T) {
	is := is.New(t)
	s := startSmallSystem(t, false)
	var kept atomic.Int64
	calls := func(c io.ReadWriter) {
		for range keptCalls {
			request := callerHead(http.MethodPost, "/svc/reservation/kept") + fmt.Sprintf("Idempotency-Key: key-%s\r\nIdempotency-Created: %s\r\nIdempotency-First: true\r\nContent-Length: 1\r\n\r\nx",
				newKey(), time.Now().UTC().Format(time.RFC3339))
			if _, err := io.WriteString(c, request); err != nil {
				return
			}
			if _, err := io.ReadFull(c, make([]byte, keptReply)); err != nil {
				return // it was refused
			}
			kept.Add(1)
		}
	}
	for range keptRounds {
		s.open(s.router.CallerAddress(), keptClients, calls).Close()
	}
	t.Logf("%d calls answered", kept.Load())
	is.True(kept.Load() > 0)
	s.awaitAnswer("after the calls", 500)
	s.check()
}

// Guards against what the kernel holds for clients and no budget counts.
func TestServeCrowdsAndTheKernel(t *testing.T) {
	call := callerHead(http.MethodPost, "/svc/lookup/x")
	large := callerHead(http.MethodGet, "/svc/lookup/large") + "\r\n"
	runSmallCrowds(t, false, map[string]smallCrowd{
		"bodies short of their end":       {clients: smallCallers, act: crowd.Chunked(call, smallMaxBody-1, 48<<10)},
		"large answers that are not read": {clients: smallCallers, act: crowd.Text(strings.Repeat(large, 4))},
		"small answers that are not read": {clients: smallCallers, act: crowd.Repeat(callerHead(http.MethodGet, "/none") + "\r\n")},
	})
}

// Guards against TLS connections that take more than connections may, and against what the
// router holds of them after it has given them up.
func TestServeCrowdsWithTLS(t *testing.T) {
	call := callerHead(http.MethodPost, "/svc/lookup/x")
	large := callerHead(http.MethodGet, "/svc/lookup/large") + "\r\n"
	runSmallCrowds(t, true, map[string]smallCrowd{
		"connections after a call":        {clients: smallCallers, act: crowd.Times(1, announced("/svc/lookup/x", "x")), ordinary: largeCall},
		"handshakes without a byte":       {clients: manyConnections, act: crowd.Text(""), unencrypted: true, ordinary: largeCall},
		"handshakes without end":          {clients: smallCallers, act: crowd.Text("\x16\x03\x01\x3f\xff\x01\x00\xff\xff\x03\x03" + strings.Repeat("x", 16<<10)), unencrypted: true},
		"bodies short of their end":       {clients: smallCallers, act: crowd.Chunked(call, smallMaxBody-1, 48<<10)},
		"heads without end":               {clients: smallCallers, act: crowd.Text(call + crowd.ShortFields(31<<10))},
		"large answers that are not read": {clients: smallCallers, act: crowd.Text(strings.Repeat(large, 4))},
		"small answers that are not read": {clients: smallCallers, act: crowd.Repeat(callerHead(http.MethodGet, "/none") + "\r\n")},
	})
}

// Guards against a router whose parts stay within their own bounds while their sum exceeds the
// memory: all kinds of clients of all ports at once.
func TestServeAllCrowdsAtOnce(t *testing.T) {
	for _, secure := range []bool{false, true} {
		t.Run(fmt.Sprint("TLS ", secure), func(t *testing.T) {
			s := startSmallSystem(t, secure)
			call := callerHead(http.MethodPost, "/svc/lookup/x")
			acts := []crowd.Act{
				crowd.Chunked(call, smallMaxBody-1, 48<<10),
				crowd.Chunked(call, smallMaxBody-1, 16),
				crowd.Announced(callerHead(http.MethodPost, "/v1/completions"), smallMaxBody, smallMaxBody-1),
				crowd.Announced(call, 1<<30, smallMaxBody),
				crowd.Text(call + crowd.ShortFields(unlimitedHead)),
				crowd.Repeat(strings.Repeat("\r\n", 1<<10)),
				crowd.Text(strings.Repeat(callerHead(http.MethodGet, "/svc/lookup/large")+"\r\n", 4)),
				crowd.Times(1, announced("/v1/chat/completions", `{"model":"`+harness.Model+`","messages":`+list(`{"role":"a"}`)+`}`)),
			}
			var all []*crowd.Crowd
			for _, act := range acts {
				all = append(all, s.open(s.router.CallerAddress(), smallCallers/4, act))
			}
			for _, act := range []crowd.Act{crowd.Text("GET /v1/status HTTP/1.1\r\nHost: h\r\n" + crowd.ShortFields(unlimitedHead)), explanation("POST /v1/explain HTTP/1.1\r\nHost: h\r\n", 3<<20)} {
				all = append(all, crowd.Open(s.admin, smallCallers/4, act))
			}
			for _, clients := range all {
				defer clients.Close()
			}
			s.awaitAnswer("beside the crowds", 500)
			for _, clients := range all {
				clients.Wait()
			}
			s.awaitAnswer("beside the crowds that have sent all", 500)
			for _, clients := range all {
				clients.Close()
			}
			s.awaitAnswer("after the crowds", 500)
			s.check()
		})
	}
}
