package main

import (
	"crypto/ed25519"
	"crypto/tls"
	"encoding/base64"
	"net"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"

	"mimosaseam.example/mimosaseam/internal/adapter/clientconn"
	"mimosaseam.example/mimosaseam/internal/adapter/platformhttp"
	"mimosaseam.example/mimosaseam/internal/adapter/tlsconfig"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/settings"
)

// platformClients holds the clients of the platform's services.
type platformClients struct {
	log     port.Log
	vmList  port.VMList
	weights port.WeightStore
}

const (
	platformDialTimeout = 2 * time.Second
	platformIdleConns   = 16
)

func newPlatform(s settings.Settings, tracer trace.Tracer) (platformClients, error) {
	clientTLS, err := tlsconfig.Client(s.Platform.TLS.CAFile)
	if err != nil {
		return platformClients{}, err
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: platformDialTimeout}).DialContext,
		TLSClientConfig:     clientTLS,
		MaxIdleConnsPerHost: platformIdleConns,
	}}
	options := func(url string) platformhttp.Options {
		return platformhttp.Options{BaseURL: url, Client: client, Tracer: tracer}
	}
	p := platformClients{
		log:    platformhttp.NewLog(options(s.Platform.LogURL)),
		vmList: platformhttp.NewVMList(options(s.Platform.VMListURL)),
	}
	if s.Platform.WeightStoreURL != "" {
		p.weights = platformhttp.NewWeightStore(options(s.Platform.WeightStoreURL))
	}
	return p, nil
}

// systemKey decodes the system key, which was validated with the settings.
func systemKey(s settings.Settings) ed25519.PublicKey {
	key, _ := base64.StdEncoding.DecodeString(s.System.PublicKey)
	return key
}

// listenClients opens a listener for clients, with TLS when the files are set.
func listenClients(address string, files settings.ServerTLS) (net.Listener, error) {
	serverTLS, err := tlsconfig.Server(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, err
	}
	l, err := clientconn.ListenTCP(address, clientconn.CallerBuffers)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	if serverTLS != nil {
		l = tls.NewListener(l, serverTLS)
	}
	return l, nil
}

// ListenError means that an address of the settings cannot be listened on.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

func (e *ListenError) Unwrap() error { return e.Cause }
