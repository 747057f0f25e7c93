package relay

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"mimosaseam.example/mimosaseam/internal/adapter/callerhttp"
	"mimosaseam.example/mimosaseam/internal/adapter/enginehttp"
	"mimosaseam.example/mimosaseam/internal/adapter/httpconn"
	"mimosaseam.example/mimosaseam/internal/app/completions"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/prompt"
)

const (
	apiKey = "bench-key"
	// passBufferBytes is large enough for several chunks.
	passBufferBytes = 4 << 10
	// The router's configuration lists the engine as 12 targets, the number in the
	// larger of the current deployments, because the cost of a placement depends on
	// this number. Together they have enough slots for 2,000 streams.
	routerTargets     = 12
	routerTargetSlots = 256
)

// PassThrough returns a proxy that only copies bytes between the caller and the
// engine. Every relay has at least this cost, so its figures are a lower bound.
func PassThrough(address string) Proxy {
	pool := httpconn.New(httpconn.Options{})
	return Proxy{
		Close: pool.Close,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// The body is read first: once a handler responds, net/http stops it from
			// reading further, which would break the copy to the engine.
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			out := r.Clone(r.Context())
			out.URL.Scheme, out.URL.Host, out.RequestURI = "http", address, ""
			out.Body = io.NopCloser(bytes.NewReader(body))
			response, err := pool.RoundTrip(out)
			if err != nil {
				w.WriteHeader(http.StatusBadGateway)
				return
			}
			defer response.Body.Close()
			w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
			w.WriteHeader(response.StatusCode)
			copyFlushed(w, response.Body)
		}),
	}
}

func copyFlushed(w http.ResponseWriter, body io.Reader) {
	flusher, _ := w.(http.Flusher)
	buffer := make([]byte, passBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			_, _ = w.Write(buffer[:n])
			flusher.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

type fixedSource struct{ snapshot *config.Snapshot }

func (s fixedSource) Current() *config.Snapshot { return s.snapshot }

// Router returns the product's router with its caller server, placement and
// engine client, but without peers and log.
func Router(address string) Proxy {
	source := fixedSource{snapshot(address)}
	client := enginehttp.New(enginehttp.Options{})
	core := completions.New(completions.Deps{
		Engine: client, Source: source, Placer: placement.New(placement.DefaultSettings()),
	})
	limits := callerhttp.DefaultLimits
	limits.OpenRequestsPerAccount, limits.OpenRequests = engineSlots, engineSlots
	return Proxy{
		Handler: callerhttp.New(callerhttp.Deps{Router: core, Source: source, Limits: limits}),
		Close:   client.Close,
	}
}

func snapshot(address string) *config.Snapshot {
	const team = "bench"
	sum := sha256.Sum256([]byte(apiKey))
	targets := make([]config.PoolTarget, routerTargets)
	for i := range targets {
		targets[i] = config.PoolTarget{Name: "engine-" + strconv.Itoa(i), Address: address}
	}
	ref := func(name string) config.Ref { return config.Ref{Team: team, Name: name} }
	return &config.Snapshot{
		Pools: map[config.Ref]config.Pool{ref("pool"): {
			Kind: config.PoolEngine, Model: modelName, WeightsVersion: weightsVersion,
			Targets: targets, Slots: routerTargetSlots, PrefillTokensPerSecond: 1 << 20, DecodeMsPerToken: 25,
			CacheBlocks: engineCapacityBlocks, BlockBytes: prompt.DefaultBlockBytes, ColdStartS: 1,
		}},
		Routes: map[config.Ref]config.Route{ref("route"): {
			Pool: "pool", Model: modelName, Repeat: config.RepeatAny, RetryBudgetPercent: 10,
			TimeoutMs: int(4 * time.Hour / time.Millisecond), StallTimeoutMs: int(2 * time.Hour / time.Millisecond),
		}},
		Accounts: map[config.Ref]config.Account{ref("account"): {
			KeySHA256: []string{hex.EncodeToString(sum[:])}, Routes: []string{"route"}, Share: 1,
		}},
	}
}
