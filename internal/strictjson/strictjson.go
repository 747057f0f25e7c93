// Package strictjson decodes JSON with comments into structs and reports all
// problems at once, each with its line, its path and the expected value.
package strictjson

import (
	"encoding/json"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one error in a document.
type Problem struct {
	File string
	// Line counts from 1; 0 when unknown.
	Line int
	Path string
	// Found describes the value in the document, Want the expected value.
	Found string
	Want  string
}

// String formats the problem on one line, as "file:line: path: found X, want Y".
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		b.WriteString(strconv.Itoa(p.Line) + ":")
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	b.WriteString(p.Path + ": found " + p.Found + ", want " + p.Want)
	return b.String()
}

// Error holds all problems of a document in the order of their lines.
type Error struct{ Problems []Problem }

func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a decoded text. It records the lines of its values and the problems
// found in it.
type Document struct {
	file     string
	text     []byte
	lines    map[string]int
	problems []Problem
}

// Decode decodes text into the struct that into points to. Fields absent from the
// text are left unchanged, so the caller can set defaults beforehand. Add records
// further problems that the caller finds in the decoded value.
func Decode(file string, text []byte, into any) *Document {
	d := &Document{file: file, text: text, lines: map[string]int{}}
	root, err := hujson.Parse(text)
	if err != nil {
		d.problems = append(d.problems, Problem{
			File: file, Line: syntaxLine(err), Path: "/", Found: err.Error(), Want: "JSON, comments allowed",
		})
		return d
	}
	d.decode("", root, reflect.ValueOf(into).Elem())
	return d
}

// Add records a problem with the value at path.
func (d *Document) Add(path, found, want string) {
	d.problems = append(d.problems, Problem{
		File: d.file, Line: d.line(path), Path: path, Found: found, Want: want,
	})
}

// Err returns all problems as one *Error, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Line < d.problems[j].Line })
	return &Error{Problems: d.problems}
}

// line returns the line of the value at path, or of its closest ancestor.
func (d *Document) line(path string) int {
	for path != "" {
		if n, ok := d.lines[path]; ok {
			return n
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
	return 1
}

func (d *Document) decode(path string, v hujson.Value, into reflect.Value) {
	if path != "" {
		d.lines[path] = 1 + strings.Count(string(d.text[:v.StartOffset]), "\n")
	}
	switch into.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, v, into)
	case reflect.Map:
		d.decodeMap(path, v, into)
	case reflect.Slice:
		d.decodeSlice(path, v, into)
	default:
		d.decodeScalar(path, v, into)
	}
}

func (d *Document) decodeStruct(path string, v hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.Add(orRoot(path), describe(v), "an object")
		return
	}
	fields := fieldsByName(into.Type())
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := literalString(m.Name)
		memberPath := path + "/" + name
		index, known := fields[name]
		switch {
		case !known:
			d.lines[memberPath] = 1 + strings.Count(string(d.text[:m.Name.StartOffset]), "\n")
			d.Add(memberPath, "an unknown key", "one of "+strings.Join(sortedKeys(fields), ", "))
		case seen[name]:
			d.Add(memberPath, "the key twice", "it once")
		default:
			seen[name] = true
			d.decode(memberPath, m.Value, into.Field(index))
		}
	}
}

func (d *Document) decodeMap(path string, v hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.Add(orRoot(path), describe(v), "an object")
		return
	}
	result := reflect.MakeMap(into.Type())
	for _, m := range object.Members {
		name := literalString(m.Name)
		element := reflect.New(into.Type().Elem()).Elem()
		d.decode(path+"/"+name, m.Value, element)
		result.SetMapIndex(reflect.ValueOf(name).Convert(into.Type().Key()), element)
	}
	into.Set(result)
}

func (d *Document) decodeSlice(path string, v hujson.Value, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.Add(orRoot(path), describe(v), "an array")
		return
	}
	result := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		d.decode(path+"/"+strconv.Itoa(i), element, result.Index(i))
	}
	into.Set(result)
}

func (d *Document) decodeScalar(path string, v hujson.Value, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		d.Add(path, describe(v), kindName(into.Kind()))
		return
	}
	if err := json.Unmarshal(literal, into.Addr().Interface()); err != nil {
		d.Add(path, describe(v), kindName(into.Kind()))
	}
}

// fieldsByName returns the field indexes of a struct type by JSON name.
func fieldsByName(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func literalString(v hujson.Value) string {
	if l, ok := v.Value.(hujson.Literal); ok {
		return l.String()
	}
	return ""
}

// maxQuotedBytes bounds how much of an invalid value a message quotes.
const maxQuotedBytes = 40

func describe(v hujson.Value) string {
	switch t := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		if len(t) > maxQuotedBytes {
			return string(t[:maxQuotedBytes]) + "..."
		}
		return string(t)
	}
	return "nothing"
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of 0 or more"
	}
	return "a " + k.String()
}

func orRoot(path string) string {
	if path == "" {
		return "/"
	}
	return path
}

// syntaxLine extracts the line number from a parser error of the form "hujson: line 3, column 4: ...".
func syntaxLine(err error) int {
	_, rest, ok := strings.Cut(err.Error(), "line ")
	if !ok {
		return 0
	}
	digits, _, _ := strings.Cut(rest, ",")
	n, convErr := strconv.Atoi(digits)
	if convErr != nil {
		return 0
	}
	return n
}
