// Package tlsconfig builds TLS configurations from PEM files and reloads the
// certificates when they change, so that they are renewed without a restart.
package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// reloadInterval is the minimum time between checks of the certificate file.
const reloadInterval = 5 * time.Second

// ErrNoCertificate means that a PEM file holds no usable certificate.
var ErrNoCertificate = eris.New("the file holds no PEM certificate")

// Server returns the configuration of a listener, or nil when no files are set.
func Server(certFile, keyFile string) (*tls.Config, error) {
	if certFile == "" {
		return nil, nil
	}
	r, err := newReloader(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: r.serverCertificate}, nil
}

// Client returns the configuration of a client that trusts the roots in caFile,
// or nil when none is set.
func Client(caFile string) (*tls.Config, error) {
	if caFile == "" {
		return nil, nil
	}
	pool, err := loadRoots(caFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}

// Mutual returns the server and client configurations of mutual TLS, where both
// ends present a certificate of the same CA, or nils when no files are set.
func Mutual(certFile, keyFile, caFile string) (server, client *tls.Config, err error) {
	if certFile == "" {
		return nil, nil, nil
	}
	r, err := newReloader(certFile, keyFile)
	if err != nil {
		return nil, nil, err
	}
	pool, err := loadRoots(caFile)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS12, GetCertificate: r.serverCertificate,
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
	}
	client = &tls.Config{MinVersion: tls.VersionTLS12, GetClientCertificate: r.clientCertificate, RootCAs: pool}
	return server, client, nil
}

func loadRoots(caFile string) (*x509.CertPool, error) {
	text, err := os.ReadFile(caFile)
	if err != nil {
		return nil, eris.Wrap(err, "read CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, eris.Wrap(ErrNoCertificate, caFile)
	}
	return pool, nil
}

// reloader holds the current certificate of a certificate and key file.
type reloader struct {
	certFile, keyFile string

	mu       sync.Mutex
	current  *tls.Certificate
	modified time.Time
	checked  time.Time
}

func newReloader(certFile, keyFile string) (*reloader, error) {
	r := &reloader{certFile: certFile, keyFile: keyFile}
	if err := r.load(); err != nil {
		return nil, err
	}
	r.checked = time.Now()
	return r, nil
}

func (r *reloader) load() error {
	info, err := os.Stat(r.certFile)
	if err != nil {
		return eris.Wrap(err, "certificate file")
	}
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return eris.Wrap(err, "load certificate")
	}
	r.current, r.modified = &cert, info.ModTime()
	return nil
}

// certificate returns the current certificate. A renewal that cannot be loaded
// leaves the old certificate in use and is retried later.
func (r *reloader) certificate() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.checked) >= reloadInterval {
		r.checked = now
		if info, err := os.Stat(r.certFile); err == nil && !info.ModTime().Equal(r.modified) {
			_ = r.load()
		}
	}
	return r.current
}

func (r *reloader) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return r.certificate(), nil
}

func (r *reloader) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return r.certificate(), nil
}
