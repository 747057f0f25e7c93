package platformhttp

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/port"
)

// decodeVMList decodes a VM list by its tokens: an entry with fields of other types, or nested
// more deeply than encoding/json decodes, is left out and does not hide the others.
func decodeVMList(text []byte) (port.VMSnapshot, error) {
	var out port.VMSnapshot
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	if start, err := dec.Token(); err != nil || start != json.Delim('{') {
		return out, eris.Wrap(ErrInvalidResponse, "the VM list is no object")
	}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return out, eris.Wrap(ErrInvalidResponse, err.Error())
		}
		switch name {
		case "as_of":
			err = dec.Decode(&out.AsOf)
		case "vms":
			out.VMs, err = readVMs(dec)
		default:
			_, err = readValue(dec)
		}
		if err != nil {
			return out, eris.Wrap(ErrInvalidResponse, err.Error())
		}
	}
	if _, err := dec.Token(); err != nil {
		return out, eris.Wrap(ErrInvalidResponse, err.Error())
	}
	return out, nil
}

func readVMs(dec *json.Decoder) ([]port.VM, error) {
	start, err := dec.Token()
	if err != nil || start == nil {
		return nil, err
	}
	if start != json.Delim('[') {
		return nil, ErrInvalidResponse
	}
	var out []port.VM
	for dec.More() {
		vm, ok, err := readVM(dec)
		if err != nil {
			return nil, err
		}
		if ok {
			out = append(out, vm)
		}
	}
	_, err = dec.Token()
	return out, err
}

// readVM reads one entry; ok is false if it describes no VM.
func readVM(dec *json.Decoder) (vm port.VM, ok bool, err error) {
	start, err := dec.Token()
	if err != nil || start != json.Delim('{') {
		if start == json.Delim('[') {
			err = skipNested(dec)
		}
		return vm, false, err
	}
	fields := map[string]*string{"name": &vm.Name, "role": (*string)(&vm.Role), "address": &vm.Address,
		"region": &vm.Region, "availability_zone": &vm.AvailabilityZone, "state": (*string)(&vm.State)}
	ok = true
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return vm, false, err
		}
		value, err := readValue(dec)
		if err != nil {
			return vm, false, err
		}
		key, _ := name.(string)
		if field := fields[key]; field != nil {
			text, isText := value.(string)
			*field, ok = text, ok && isText
		}
	}
	_, err = dec.Token()
	return vm, ok && vm.Name != "", err
}

// readValue returns the next value, or its first token if it is an object or an array.
func readValue(dec *json.Decoder) (json.Token, error) {
	value, err := dec.Token()
	if _, nested := value.(json.Delim); err == nil && nested {
		err = skipNested(dec)
	}
	return value, err
}

// skipNested reads up to the end of the object or array that has begun.
func skipNested(dec *json.Decoder) error {
	for depth := 1; depth > 0; {
		token, err := dec.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
	return nil
}
