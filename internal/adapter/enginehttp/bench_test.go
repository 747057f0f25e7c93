package enginehttp

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// repeatedBody returns the same events in an endless loop.
type repeatedBody struct {
	events []byte
	reader bytes.Reader
}

func (b *repeatedBody) Read(p []byte) (int, error) {
	if b.reader.Len() == 0 {
		b.reader.Reset(b.events)
	}
	return b.reader.Read(p)
}

func (*repeatedBody) Close() error { return nil }

// BenchmarkNext measures decoding one chunk.
func BenchmarkNext(b *testing.B) {
	for name, text := range map[string]string{"plain": "word ", "escaped": `a\"b\n`, "unicode": "föö…"} {
		b.Run(name, func(b *testing.B) {
			event := "id: 7\ndata: {\"index\":7,\"text\":\"" + text + "\",\"finish_reason\":null}\n\n"
			body := &repeatedBody{events: []byte(strings.Repeat(event, 100))}
			s := newStream("e", &http.Response{Body: body}, func() {}, DefaultMaxEventBytes)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Next(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkEncode measures encoding a request with a prompt of 100 KiB.
func BenchmarkEncode(b *testing.B) {
	g := port.Generation{Model: "m", Prompt: strings.Repeat("A line of a dossier.\n", 5000), MaxTokens: 4}
	b.ReportAllocs()
	for b.Loop() {
		encodeCompletion(g)
	}
}

// BenchmarkGenerate measures a whole attempt of four tokens over loopback.
func BenchmarkGenerate(b *testing.B) {
	e := engine.New(engine.Config{})
	defer e.Close()
	address, stop := serve(b, e.Server())
	defer stop()
	client := New(Options{})
	defer client.Close()
	g := port.Generation{
		RequestID: "r", AttemptID: "a", Model: "m", Prompt: strings.Repeat("word ", 800), MaxTokens: 4,
		Scope: port.Scope{ClientAccount: "acme", WeightsVersion: "v1"},
	}
	b.ReportAllocs()
	for b.Loop() {
		stream, err := client.Generate(b.Context(), address, g)
		if err != nil {
			b.Fatal(err)
		}
		for err == nil {
			_, err = stream.Next()
		}
		if err != io.EOF {
			b.Fatal(err)
		}
		_ = stream.Close()
	}
}

func serve(b *testing.B, server *http.Server) (address string, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }
}
