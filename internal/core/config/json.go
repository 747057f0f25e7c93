package config

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// maxValueBytes bounds a value; a pool of 1,000 targets takes about 150 KiB.
	maxValueBytes = 1 << 20
	// maxChangeBytes bounds a change record: a value and the other fields.
	maxChangeBytes = maxValueBytes + 1<<14
	// maxSnapshotBytes bounds a snapshot record. 9,500 accounts and 5,100 targets
	// with their paths take an estimated 10 MiB.
	maxSnapshotBytes = 64 << 20
	// maxDepth bounds the nesting of a value. The schema needs 3 levels.
	maxDepth = 16
)

// parseTree decodes JSON into maps, slices, strings, json.Number, bool and nil.
// Unlike encoding/json, it rejects objects with duplicate fields.
func parseTree(data []byte, limit int) (any, error) {
	if len(data) > limit {
		return nil, eris.Wrapf(ErrMalformed, "more than %d bytes", limit)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	tree, err := readTree(dec, maxDepth)
	if err != nil {
		return nil, err
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, eris.Wrap(ErrMalformed, "unexpected data after the value")
	}
	return tree, nil
}

func readTree(dec *json.Decoder, depth int) (any, error) {
	if depth == 0 {
		return nil, eris.Wrapf(ErrMalformed, "nested deeper than %d levels", maxDepth)
	}
	tok, err := dec.Token()
	if err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	switch tok {
	case json.Delim('{'):
		return readObject(dec, depth)
	case json.Delim('['):
		return readArray(dec, depth)
	}
	return tok, nil
}

func readObject(dec *json.Decoder, depth int) (any, error) {
	object := map[string]any{}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return nil, eris.Wrap(ErrMalformed, err.Error())
		}
		name, ok := tok.(string)
		if !ok {
			return nil, eris.Wrap(ErrMalformed, "field name is not a string")
		}
		if _, twice := object[name]; twice {
			return nil, eris.Wrapf(ErrMalformed, "field %q appears twice", name)
		}
		if object[name], err = readTree(dec, depth-1); err != nil {
			return nil, err
		}
	}
	return object, closeDelim(dec)
}

func readArray(dec *json.Decoder, depth int) (any, error) {
	array := []any{}
	for dec.More() {
		element, err := readTree(dec, depth-1)
		if err != nil {
			return nil, err
		}
		array = append(array, element)
	}
	return array, closeDelim(dec)
}

func closeDelim(dec *json.Decoder) error {
	if _, err := dec.Token(); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// canonicalJSON encodes a value with sorted fields and without white space, so
// that signatures don't depend on the formatting of the record.
func canonicalJSON(data []byte) ([]byte, error) {
	tree, err := parseTree(data, maxValueBytes)
	if err != nil {
		return nil, err
	}
	out, err := json.Marshal(tree)
	if err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	return out, nil
}

// decodeStrict decodes a record. It rejects unknown and duplicate fields, and
// field names that differ in case only.
func decodeStrict(data []byte, limit int, dst any) error {
	tree, err := parseTree(data, limit)
	if err != nil {
		return err
	}
	object, ok := tree.(map[string]any)
	if !ok {
		return eris.Wrap(ErrMalformed, "expected an object")
	}
	known := map[string]bool{}
	for field := range reflect.TypeOf(dst).Elem().Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		known[name] = true
	}
	for _, name := range sortedKeys(object) {
		if !known[name] {
			return eris.Wrapf(ErrMalformed, "unknown field %q", name)
		}
	}
	if err := json.Unmarshal(data, dst); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	return nil
}
