package strictjson

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

type inner struct {
	Port  int      `json:"port"`
	Names []string `json:"names"`
}

type outer struct {
	Name  string         `json:"name"`
	Ratio float64        `json:"ratio"`
	Inner inner          `json:"inner"`
	Extra map[string]int `json:"extra"`
}

// Guards against decoding that reports only the first of several problems.
func TestDecodeReportsEveryProblemWithItsLine(t *testing.T) {
	is := is.New(t)
	text := "{\n // comment\n \"name\": 7,\n \"nmae\": \"x\",\n \"inner\": {\"port\": \"80\",\n  \"names\": [1]},\n \"extra\": {\"a\": 1.5},\n}"
	var o outer
	err := Decode("s.jsonc", []byte(text), &o).Err()
	is.True(err != nil)
	want := []string{
		"s.jsonc:3: /name: found 7, want a string",
		"s.jsonc:4: /nmae: found an unknown key, want one of extra, inner, name, ratio",
		"s.jsonc:5: /inner/port: found \"80\", want a whole number",
		"s.jsonc:6: /inner/names/0: found 1, want a string",
		"s.jsonc:7: /extra/a: found 1.5, want a whole number",
	}
	is.Equal(err.Error(), strings.Join(want, "\n"))
}

// Guards against absent fields that lose their defaults.
func TestDecodeKeepsDefaults(t *testing.T) {
	is := is.New(t)
	o := outer{Ratio: 0.5, Inner: inner{Port: 80}}
	is.NoErr(Decode("s", []byte(`{"name": "a", "inner": {"names": ["b"]}}`), &o).Err())
	is.Equal(o, outer{Name: "a", Ratio: 0.5, Inner: inner{Port: 80, Names: []string{"b"}}})
}

// Guards against problems added after decoding that are reported without the line
// of the value.
func TestAddFindsLineOfClosestAncestor(t *testing.T) {
	is := is.New(t)
	var o outer
	d := Decode("s", []byte("{\n\"inner\": {}}"), &o)
	d.Add("/inner/port", "nothing", "a port")
	is.Equal(d.Err().Error(), "s:2: /inner/port: found nothing, want a port")
}

// Guards against panics on malformed text.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "inner": {"names": [null]}}`))
	f.Add([]byte("{\n\"name\": }"))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var o outer
		if err := Decode("f", text, &o).Err(); err != nil && err.Error() == "" {
			t.Fatal("a problem without a message")
		}
	})
}
