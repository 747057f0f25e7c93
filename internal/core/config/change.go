package config

import (
	"crypto/ed25519"
	"encoding/binary"
	"encoding/json"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/port"
)

const maxIDBytes = 200

// Change is a signed request to set or delete the value at a path. Exactly one of
// Value and Delete is set.
type Change struct {
	ID     string `json:"id"`
	Author string `json:"author"` // team name
	Path   string `json:"path"`
	// BaseRevision is the revision of the path that the change is based on, 0 for
	// an absent path.
	BaseRevision port.Offset     `json:"base_revision"`
	Value        json.RawMessage `json:"value,omitempty"`
	Delete       bool            `json:"delete,omitempty"`
	// Signature is the ed25519 signature of the canonical encoding of the other
	// fields.
	Signature []byte `json:"signature"`
}

// signatureContext is signed with each change, so that a signature made with the
// same key for another purpose is not valid for a change.
const signatureContext = "mimosaseam config change v1"

// signedBytes returns the canonical encoding of the signed fields, in which each
// variable-length part is prefixed with its length.
func (c Change) signedBytes() ([]byte, error) {
	value := []byte{}
	if !c.Delete {
		var err error
		if value, err = canonicalJSON(c.Value); err != nil {
			return nil, err
		}
	}
	out := []byte{}
	for _, part := range [][]byte{[]byte(signatureContext), []byte(c.ID), []byte(c.Author), []byte(c.Path)} {
		out = appendSized(out, part)
	}
	out = binary.BigEndian.AppendUint64(out, uint64(c.BaseRevision))
	if c.Delete {
		return append(out, 1), nil
	}
	return appendSized(append(out, 0), value), nil
}

func appendSized(out, part []byte) []byte {
	return append(binary.BigEndian.AppendUint32(out, uint32(len(part))), part...)
}

// Sign returns the change signed with the team's private key.
func Sign(c Change, key ed25519.PrivateKey) (Change, error) {
	text, err := c.signedBytes()
	if err != nil {
		return Change{}, err
	}
	c.Signature = ed25519.Sign(key, text)
	return c, nil
}

// Verify reports whether the signature is valid for the public key.
func Verify(c Change, key ed25519.PublicKey) bool {
	text, err := c.signedBytes()
	return err == nil && len(key) == ed25519.PublicKeySize && ed25519.Verify(key, text, c.Signature)
}

// EncodeChange encodes the change as the data of a log record.
func EncodeChange(c Change) ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	return data, nil
}

// DecodeChange decodes the data of a change record. It fails with ErrMalformed.
func DecodeChange(data []byte) (Change, error) {
	var c Change
	if err := decodeStrict(data, maxChangeBytes, &c); err != nil {
		return Change{}, err
	}
	if c.ID == "" || len(c.ID) > maxIDBytes {
		return Change{}, eris.Wrapf(ErrMalformed, "id has %d bytes, expected 1 to %d", len(c.ID), maxIDBytes)
	}
	if c.Delete == (c.Value != nil) {
		return Change{}, eris.Wrap(ErrMalformed, "expected either value or delete")
	}
	return c, nil
}
