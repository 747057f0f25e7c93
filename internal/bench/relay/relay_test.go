package relay

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// droppingProxy returns a proxy that drops the chunk with index 1.
func droppingProxy(address string) Proxy {
	proxy := PassThrough(address)
	inner := proxy.Handler
	proxy.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { inner.ServeHTTP(dropWriter{w}, r) })
	return proxy
}

type dropWriter struct{ http.ResponseWriter }

func (w dropWriter) Flush() { w.ResponseWriter.(http.Flusher).Flush() }

func (w dropWriter) Write(p []byte) (int, error) {
	for event := range strings.SplitAfterSeq(string(p), "\n\n") {
		if strings.HasPrefix(event, "id: 1\n") {
			continue
		}
		if _, err := w.ResponseWriter.Write([]byte(event)); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

func options(proxies map[string]ProxyFactory) Options {
	return Options{
		Streams: []int{2}, Requests: 2, Rounds: 2, Tokens: 4, PromptBytes: 600,
		TokenInterval: time.Millisecond, Seed: 1, Proxies: proxies,
	}
}

// Guards against paths that are not all measured with the same number of requests.
func TestRunMeasuresEveryPath(t *testing.T) {
	is := is.New(t)
	results, err := Run(options(map[string]ProxyFactory{"router": Router, "pass-through": PassThrough}))
	is.NoErr(err)
	is.Equal(len(results), 3)
	for i, path := range []string{Direct, "pass-through", "router"} {
		is.Equal(results[i].Path, path)
		is.Equal(results[i].Requests, 8)
		is.True(results[i].TTFTp99 >= results[i].TTFTp50 && results[i].TTFTp50 > 0)
	}
	var table bytes.Buffer
	is.NoErr(WriteTable(&table, results))
	is.True(strings.Contains(table.String(), ">=50000"))
}

// Guards against measurements of streams that did not arrive complete and in order.
func TestRunFailsOnIncompleteStreams(t *testing.T) {
	_, err := Run(options(map[string]ProxyFactory{"dropping": droppingProxy}))
	is.New(t).True(errors.Is(err, ErrIncomplete))
}

// Guards against quantiles that are off by one sample.
func TestQuantile(t *testing.T) {
	is := is.New(t)
	var values []time.Duration
	for i := range 100 {
		values = append(values, time.Duration(i+1))
	}
	is.Equal(quantile(values, 0.50), time.Duration(50))
	is.Equal(quantile(values, 0.99), time.Duration(99))
	is.Equal(quantile(values[:1], 0.99), time.Duration(1))
	is.Equal(quantile(nil, 0.5), time.Duration(0))
}

// Guards against added values that omit a part or have the wrong sign.
func TestCompare(t *testing.T) {
	is := is.New(t)
	direct := Result{TTFTp50: 1, TTFTp99: 2, CPUPerToken: 30 * time.Microsecond, HeapPerStream: 10, StackPerStream: 20}
	r := Result{TTFTp50: 5, TTFTp99: 8, CPUPerToken: 50 * time.Microsecond, HeapPerStream: 100, StackPerStream: 200}
	r.subtractDirect(direct)
	is.Equal(r.AddedTTFTp50, time.Duration(4))
	is.Equal(r.AddedTTFTp99, time.Duration(6))
	is.Equal(r.AddedTokensPerCore, 50000.0)
	is.Equal(r.AddedBytesPerStream, int64(270))
}
