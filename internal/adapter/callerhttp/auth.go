package callerhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"

	"mimosaseam.example/mimosaseam/internal/core/config"
)

// keyIndex maps API keys to accounts. It is rebuilt for each configuration
// snapshot.
type keyIndex struct {
	current atomic.Pointer[compiledKeys]
}

type compiledKeys struct {
	snapshot *config.Snapshot
	// byPrefix indexes key hashes by their first bytes, which reveal nothing about
	// the key.
	byPrefix map[[8]byte][]keyEntry
}

type keyEntry struct {
	hash    [sha256.Size]byte
	account config.Ref
}

func (k *keyIndex) compiled(snapshot *config.Snapshot) *compiledKeys {
	if c := k.current.Load(); c != nil && c.snapshot == snapshot {
		return c
	}
	c := &compiledKeys{snapshot: snapshot, byPrefix: map[[8]byte][]keyEntry{}}
	for ref, account := range snapshot.Accounts {
		for _, text := range account.KeySHA256 {
			raw, err := hex.DecodeString(text)
			if err != nil || len(raw) != sha256.Size {
				continue // rejected by validation; matches no key
			}
			e := keyEntry{hash: [sha256.Size]byte(raw), account: ref}
			prefix := [8]byte(raw)
			c.byPrefix[prefix] = append(c.byPrefix[prefix], e)
		}
	}
	k.current.Store(c)
	return c
}

// account authenticates the value of an Authorization header. Hashes are
// compared in constant time.
func (k *keyIndex) account(snapshot *config.Snapshot, header string) (config.Ref, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	key = strings.TrimSpace(key)
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" || snapshot == nil {
		return config.Ref{}, false
	}
	sum := sha256.Sum256([]byte(key))
	for _, e := range k.compiled(snapshot).byPrefix[[8]byte(sum[:8])] {
		if subtle.ConstantTimeCompare(e.hash[:], sum[:]) == 1 {
			return e.account, true
		}
	}
	return config.Ref{}, false
}

// openRequests limits open requests in total and per account, so that no account
// can use up the memory.
type openRequests struct {
	mu       sync.Mutex
	total    int
	accounts map[config.Ref]int
}

func (o *openRequests) acquire(account config.Ref, l Limits) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.total >= l.OpenRequests || o.accounts[account] >= l.OpenRequestsPerAccount {
		return false
	}
	o.total++
	o.accounts[account]++
	return true
}

func (o *openRequests) release(account config.Ref) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total--
	o.accounts[account]--
	if o.accounts[account] == 0 {
		delete(o.accounts, account)
	}
}

// maxRequestID bounds request ids taken from callers.
const maxRequestID = 128

// requestID returns the caller's request id if it is valid in logs and headers,
// and a new one otherwise.
func requestID(r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(id) > maxRequestID || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return uuid.NewString()
	}
	return id
}
