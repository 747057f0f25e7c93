package platformhttp

import (
	"context"
	"net/http"
	"net/url"

	"go.opentelemetry.io/otel/trace"

	"mimosaseam.example/mimosaseam/internal/port"
)

// VMList is a client of the platform's VM list. It implements port.VMList.
type VMList struct{ caller caller }

// NewVMList returns a client of the VM list.
func NewVMList(o Options) *VMList { return &VMList{caller: newCaller("VM list", o)} }

// List implements port.VMList.
func (v *VMList) List(ctx context.Context) (out port.VMSnapshot, err error) {
	ctx, span := v.caller.tracer.Start(ctx, "platform list VMs", trace.WithSpanKind(trace.SpanKindClient))
	defer func() { endSpan(span, err) }()
	resp, err := v.caller.do(ctx, request{method: http.MethodGet, path: "/v1/vms"})
	if err == nil {
		err = v.caller.checkStatus(resp)
	}
	if err != nil {
		return port.VMSnapshot{}, err
	}
	out, err = decodeVMList(resp.body)
	if err == nil && out.AsOf.IsZero() {
		err = ErrInvalidResponse
	}
	if err != nil {
		return port.VMSnapshot{}, v.caller.unknown(err)
	}
	return out, nil
}

// KVStore is a client of the platform's KV cache store. It implements
// port.KVStore.
type KVStore struct{ caller caller }

// NewKVStore returns a client of the KV cache store. Options.MaxResponseBytes
// bounds the values that Get returns.
func NewKVStore(o Options) *KVStore { return &KVStore{caller: newCaller("KV store", o)} }

// Put implements port.KVStore.
func (k *KVStore) Put(ctx context.Context, key string, data []byte) error {
	resp, err := k.caller.do(ctx, request{
		method: http.MethodPut, path: kvPath(key), contentType: "application/octet-stream", body: data,
	})
	if err != nil {
		return err
	}
	return k.caller.checkStatus(resp)
}

// Get implements port.KVStore. It fails with a NotFoundError when there is no
// such key.
func (k *KVStore) Get(ctx context.Context, key string) ([]byte, error) {
	resp, err := k.caller.do(ctx, request{method: http.MethodGet, path: kvPath(key)})
	if err != nil {
		return nil, err
	}
	if resp.status == http.StatusNotFound {
		return nil, &port.NotFoundError{Peer: k.caller.peer, Name: key}
	}
	if err := k.caller.checkStatus(resp); err != nil {
		return nil, err
	}
	return resp.body, nil
}

func kvPath(key string) string { return "/v1/kv/" + url.PathEscape(key) }

// WeightStore is a client of the platform's weight store. It implements
// port.WeightStore.
type WeightStore struct{ caller caller }

// NewWeightStore returns a client of the weight store.
func NewWeightStore(o Options) *WeightStore {
	return &WeightStore{caller: newCaller("weight store", o)}
}

// Fetch implements port.WeightStore.
func (w *WeightStore) Fetch(ctx context.Context, version string) error {
	in := map[string]string{"version": version}
	resp, err := w.caller.doJSON(ctx, request{method: http.MethodPost, path: "/v1/weights/fetch"}, in, nil)
	if err != nil {
		return err
	}
	return w.caller.checkStatus(resp)
}
