package callerhttp

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against elements of a list that are cut at the wrong place.
func TestElementsOfLists(t *testing.T) {
	for _, list := range []string{`[]`, `[ ]`, `[1]`, ` [1, "a]\"," , {"b":[1,{"c":"}"}]} ,[[],[ ]], null ] `, `["\\","\\\"",""]`, `[{},{}]`, "[\n\t\"x\"\n]"} {
		is := is.New(t)
		var want []json.RawMessage
		is.NoErr(json.Unmarshal([]byte(list), &want))
		var got []json.RawMessage
		for element := range elements([]byte(strings.TrimSpace(list))) {
			got = append(got, element)
		}
		is.Equal(len(got), len(want))
		for i := range want {
			is.Equal(string(got[i]), string(want[i]))
		}
	}
}

// Guards against values of a body that are decoded behind one that is refused, or that add up
// when a field comes twice.
func TestListsOfABody(t *testing.T) {
	for name, c := range map[string]struct{ body, prompt, problem string }{
		"twice":               {`{"model":"m","messages":[{"role":"a","content":"x"}],"messages":[{"role":"b","content":["y"]}]}`, "", "is not valid"},
		"twice, the last one": {`{"model":"m","messages":[{"content":"x"}],"messages":[{"role":"b","content":"y"}]}`, "b\ny\n", ""},
		"null":                {`{"model":"m","messages":null}`, "", "messages is missing"},
		"an object":           {`{"model":"m","messages":{}}`, "", "is not valid"},
		"behind a refusal":    {`{"model":"m","messages":[{"role":"a"},{},1]}`, "", "messages[1].role is missing"},
		"not UTF-8":           {"{\"model\":\"m\",\"messages\":[{\"role\":\"a\",\"content\":\"\xff\"}]}", "", "is not valid UTF-8"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in, err := decodeCompletion([]byte(c.body), true, DefaultLimits)
			if c.problem != "" {
				is.True(err != nil && strings.Contains(err.Error(), c.problem))
				return
			}
			is.NoErr(err)
			is.Equal(in.prompt, c.prompt)
		})
	}
}
