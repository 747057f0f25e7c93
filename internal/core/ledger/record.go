// Package ledger holds the records of the ledger stream and the state that
// results from applying them. It ensures at-most-once execution per idempotency
// key: the intent with the lowest offset wins, and only its attempt may be
// dispatched.
package ledger

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/port"
)

// ErrMalformed means that a record is not a valid ledger record.
var ErrMalformed = eris.New("malformed ledger record")

// Key is an idempotency key in the scope of one client account.
type Key struct {
	Account string `json:"account"`
	Value   string `json:"value"`
}

// Intent proposes an attempt for a key. Whether it won is known only after the
// record was read back from the log.
type Intent struct {
	Key      Key       `json:"key"`
	BodyHash string    `json:"body_hash"`
	Attempt  string    `json:"attempt"` // unique over all routers
	Router   string    `json:"router"`
	Route    string    `json:"route"`
	Deadline time.Time `json:"deadline"`
	// Resendable is true if the target runs the key at most once, however often it
	// is sent.
	Resendable bool `json:"resendable,omitempty"`
	// Base is the offset that the router had applied when the request arrived. A
	// later not_run record closes the key to this request, so that after a caller
	// received "not run", no earlier request with the key runs.
	Base port.Offset `json:"base"`
	// Supersedes is the earlier attempt, without a known outcome, of a resendable
	// key that the intent replaces.
	Supersedes string    `json:"supersedes,omitempty"`
	Expires    time.Time `json:"expires"` // when the key may be removed
}

// Outcome is the response to an attempt.
type Outcome struct {
	Key      Key                 `json:"key"`
	Attempt  string              `json:"attempt"`
	BodyHash string              `json:"body_hash"`
	Status   int                 `json:"status"`
	Headers  map[string][]string `json:"headers,omitempty"`
	Body     []byte              `json:"body,omitempty"`
	Expires  time.Time           `json:"expires"`
}

// NotRun states that an attempt did not run and never will.
type NotRun struct {
	Key     Key       `json:"key"`
	Attempt string    `json:"attempt"`
	Expires time.Time `json:"expires"`
}

// Carry carries an entry forward whose records are about to expire from the log:
// it holds the entry as of the record at offset Through.
type Carry struct {
	Entry   Entry       `json:"entry"`
	Through port.Offset `json:"through"`
}

// Record is the data of a log record; exactly one field is set.
type Record struct {
	Intent  *Intent  `json:"intent,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
	NotRun  *NotRun  `json:"not_run,omitempty"`
	Carry   *Carry   `json:"carry,omitempty"`
}

// Encode encodes the data of a log record.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	return data, nil
}

// Decode decodes the data of a log record. Unknown fields are ignored, so that
// routers of two versions can share the stream.
func Decode(data []byte) (Record, error) {
	var r Record
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&r); err != nil {
		return Record{}, eris.Wrap(ErrMalformed, err.Error())
	}
	set := 0
	for _, valid := range []struct{ has, valid bool }{
		{r.Intent != nil, r.Intent != nil && r.Intent.Attempt != "" && validKey(r.Intent.Key)},
		{r.Outcome != nil, r.Outcome != nil && r.Outcome.Attempt != "" && validKey(r.Outcome.Key)},
		{r.NotRun != nil, r.NotRun != nil && r.NotRun.Attempt != "" && validKey(r.NotRun.Key)},
		{r.Carry != nil, r.Carry != nil && r.Carry.Entry.valid()},
	} {
		if valid.has {
			set++
		}
		if valid.has != valid.valid {
			return Record{}, eris.Wrap(ErrMalformed, "key, attempt or state is missing")
		}
	}
	if set != 1 {
		return Record{}, eris.Wrap(ErrMalformed, "expected one of intent, outcome, not_run, carry")
	}
	return r, nil
}

func validKey(k Key) bool { return k.Account != "" && k.Value != "" }
