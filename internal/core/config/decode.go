package config

import (
	"encoding/json"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// decoder fills a schema struct from a parsed JSON tree and collects all
// problems.
type decoder struct {
	path     string
	problems []Problem
	// present holds the fields that occur in the value; the others get defaults.
	present map[string]bool
}

func (d *decoder) addProblem(field, found, expected string) {
	d.problems = append(d.problems, Problem{Path: d.path, Field: field, Found: found, Expected: expected})
}

func (d *decoder) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: d.problems}
}

func (d *decoder) value(field string, tree any, dst reflect.Value) {
	switch dst.Kind() {
	case reflect.Struct:
		d.object(field, tree, dst)
	case reflect.Slice:
		d.slice(field, tree, dst)
	case reflect.String:
		if text, ok := tree.(string); ok {
			dst.SetString(text)
			return
		}
		d.addProblem(field, describe(tree), "a string")
	case reflect.Bool:
		if b, ok := tree.(bool); ok {
			dst.SetBool(b)
			return
		}
		d.addProblem(field, describe(tree), "true or false")
	case reflect.Int:
		if n, ok := tree.(json.Number); ok {
			if i, err := strconv.Atoi(n.String()); err == nil {
				dst.SetInt(int64(i))
				return
			}
		}
		d.addProblem(field, describe(tree), "a whole number")
	case reflect.Float64:
		if n, ok := tree.(json.Number); ok {
			if f, err := n.Float64(); err == nil && !math.IsInf(f, 0) {
				dst.SetFloat(f)
				return
			}
		}
		d.addProblem(field, describe(tree), "a number")
	}
}

func (d *decoder) object(field string, tree any, dst reflect.Value) {
	object, ok := tree.(map[string]any)
	if !ok {
		d.addProblem(field, describe(tree), "an object")
		return
	}
	prefix := field
	if prefix != "" {
		prefix += "."
	}
	names := make([]string, dst.NumField())
	for i := range names {
		name, _, _ := strings.Cut(dst.Type().Field(i).Tag.Get("json"), ",")
		names[i] = name
		if element, has := object[name]; has {
			d.present[prefix+name] = true
			d.value(prefix+name, element, dst.Field(i))
		}
	}
	for _, name := range sortedKeys(object) {
		if !slices.Contains(names, name) {
			d.addProblem(prefix+name, "an unknown field", "one of "+strings.Join(names, ", "))
		}
	}
}

func (d *decoder) slice(field string, tree any, dst reflect.Value) {
	array, ok := tree.([]any)
	if !ok {
		d.addProblem(field, describe(tree), "an array")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(array), len(array)))
	for i, element := range array {
		d.value(field+"["+strconv.Itoa(i)+"]", element, dst.Index(i))
	}
}

// describe renders a found value for a Problem, shortened to keep error messages
// readable.
func describe(tree any) string {
	const maxShown = 80
	switch v := tree.(type) {
	case nil:
		return "null"
	case map[string]any:
		return "an object"
	case []any:
		return "an array"
	case json.Number:
		return shorten(v.String(), maxShown)
	case bool:
		return strconv.FormatBool(v)
	case string:
		return strconv.Quote(shorten(v, maxShown))
	}
	return "an unknown type"
}

func shorten(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "..."
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
