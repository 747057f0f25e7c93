package peergrpc

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/credentials"

	"mimosaseam.example/mimosaseam/internal/port"
)

// handler is a port.PeerHandler with configurable results.
type handler struct {
	exchange func(ctx context.Context, e port.PeerExchange) (port.PeerExchange, error)
	records  func(from port.Offset, limit int) (port.Batch, error)
	handoff  func(from port.Member, summary []byte)
	summary  port.PeerSummary
}

func (h *handler) HandleExchange(ctx context.Context, e port.PeerExchange) (port.PeerExchange, error) {
	return h.exchange(ctx, e)
}

func (h *handler) HandlePullRecords(_ context.Context, _ string, from port.Offset, limit int) (port.Batch, error) {
	return h.records(from, limit)
}

func (h *handler) HandleSummary(context.Context) (port.PeerSummary, error) { return h.summary, nil }

func (h *handler) HandleHandoff(_ context.Context, from port.Member, summary []byte) error {
	h.handoff(from, summary)
	return nil
}

// countingListener counts the bytes of all its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
	conns atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.conns.Add(1)
	return &countingConn{Conn: c, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// serve starts a server and returns its address and its listener.
func serve(t testing.TB, h port.PeerHandler, creds credentials.TransportCredentials) (string, *countingListener) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	listener := &countingListener{Listener: inner}
	s := NewServer(h, creds, slog.New(slog.DiscardHandler))
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Stop)
	return inner.Addr().String(), listener
}

// mutualTLS returns credentials of a server and a client that trust the same
// certificate authority, and of a client without a certificate.
func mutualTLS(t testing.TB) (server, client, noCert credentials.TransportCredentials) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	parsed, err := x509.ParseCertificate(der)
	is.NoErr(err)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	own := []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}
	server = credentials.NewTLS(&tls.Config{Certificates: own, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert})
	client = credentials.NewTLS(&tls.Config{Certificates: own, RootCAs: pool})
	noCert = credentials.NewTLS(&tls.Config{RootCAs: pool})
	return server, client, noCert
}
