package tlsconfig

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key.
func writeCertificate(t *testing.T, dir, name string, serial int64) (certFile, keyFile string) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	certFile, keyFile = filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")
	is.NoErr(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	return certFile, keyFile
}

// handshake connects the two sides over loopback. It joins both errors, because
// Dial may succeed before the server rejects the client certificate.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	is := is.New(t)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	is.NoErr(err)
	defer listener.Close()
	accepted := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			conn.Close()
		}
		accepted <- err
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err == nil {
		defer conn.Close()
	}
	return errors.Join(err, <-accepted)
}

// Guards against routers that accept peers without a certificate of their CA.
func TestMutualRejectsClientsWithoutCertificate(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	cert, key := writeCertificate(t, dir, "router", 1)
	server, client, err := Mutual(cert, key, cert)
	is.NoErr(err)
	client.ServerName = "127.0.0.1"
	is.NoErr(handshake(t, server, client))

	noCert := client.Clone()
	noCert.GetClientCertificate = nil
	is.True(handshake(t, server, noCert) != nil)
}

// Guards against a renewed certificate that is not used, and against an invalid
// renewal that replaces the old one.
func TestReloadKeepsTheOldCertificateUntilTheNewOneLoads(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	cert, key := writeCertificate(t, dir, "router", 1)
	r, err := newReloader(cert, key)
	is.NoErr(err)
	serial := func() int64 {
		r.checked = time.Time{}
		return r.certificate().Leaf.SerialNumber.Int64()
	}
	is.Equal(serial(), int64(1))
	is.NoErr(os.WriteFile(cert, []byte("not PEM"), 0o600))
	is.NoErr(os.Chtimes(cert, time.Now(), time.Now().Add(time.Minute)))
	is.Equal(serial(), int64(1))
	writeCertificate(t, dir, "router", 2)
	is.NoErr(os.Chtimes(cert, time.Now(), time.Now().Add(2*time.Minute)))
	is.Equal(serial(), int64(2))
}
