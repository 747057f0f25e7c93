package config

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tailscale/hujson"

	"mimosaseam.example/mimosaseam/internal/port"
)

// testKey returns a fixed private key for a team.
func testKey(team string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, team)
	return ed25519.NewKeyFromSeed(seed)
}

func publicKey(team string) ed25519.PublicKey {
	return testKey(team).Public().(ed25519.PublicKey)
}

func teamValue(team string) string {
	return `{"public_key":"` + base64.StdEncoding.EncodeToString(publicKey(team)) + `"}`
}

const (
	enginePool  = `{"kind":"engine","model":"m","targets":[{"name":"e1","address":"127.0.0.1:1","region":"r","availability_zone":"z"}]}`
	servicePool = `{"kind":"service","targets":[{"name":"s1","address":"127.0.0.1:2","region":"r","availability_zone":"z"}]}`
)

func accountValue(key byte, routes string) string {
	return `{"key_sha256":["` + strings.Repeat(string(key), 64) + `"],"routes":[` + routes + `]}`
}

// change returns a change signed by the owner of the path; an empty value means a
// deletion.
func change(id, path string, base port.Offset, value string) Change {
	c := Change{ID: id, Author: strings.Split(path, "/")[1], Path: path, BaseRevision: base, Delete: value == ""}
	if value != "" {
		c.Value = json.RawMessage(value)
	}
	c, err := Sign(c, testKey(c.Author))
	if err != nil {
		panic(err)
	}
	return c
}

func record(offset port.Offset, c Change) port.Record {
	data, err := EncodeChange(c)
	if err != nil {
		panic(err)
	}
	return port.Record{Offset: offset, ID: c.ID, Data: data}
}

// baseState returns a state with teams a and b, and with a pool, a route and an
// account of team a, from records at offsets 1 to 5.
func baseState(t *testing.T) *State {
	s := NewState(publicKey(SystemTeam))
	for i, c := range []Change{
		change("1", "/system/teams/a", 0, teamValue("a")),
		change("2", "/system/teams/b", 0, teamValue("b")),
		change("3", "/a/pools/p", 0, enginePool),
		change("4", "/a/routes/r", 0, `{"pool":"p","model":"m"}`),
		change("5", "/a/accounts/c", 0, accountValue('1', `"r"`)),
	} {
		if v := s.Apply(record(port.Offset(i+1), c)); !v.Accepted {
			t.Fatal(v.Err)
		}
	}
	return s
}

// Guards against accepting an invalid change, and against a rejected change that
// modifies the state.
func TestDecisions(t *testing.T) {
	forged := change("x", "/a/pools/q", 0, enginePool)
	forged.BaseRevision = 3
	foreign := change("x", "/b/pools/q", 0, enginePool)
	foreign.Path = "/a/pools/q"
	cases := map[string]struct {
		change Change
		want   Reason
		text   string
	}{
		"new pool":              {change("x", "/a/pools/q", 0, servicePool), "", ""},
		"update":                {change("x", "/a/pools/p", 3, enginePool), "", ""},
		"update of new route":   {change("x", "/a/routes/q", 0, `{"pool":"p","model":"n"}`), "", ""},
		"delete account":        {change("x", "/a/accounts/c", 5, ""), "", ""},
		"foreign subtree":       {foreign, ReasonNotOwner, `belongs to team "a", not to "b"`},
		"unknown team":          {change("x", "/z/pools/q", 0, enginePool), ReasonNotOwner, "does not exist"},
		"changed after signing": {forged, ReasonBadSignature, "does not verify"},
		"unknown path":          {change("x", "/a/nothing/q", 0, enginePool), ReasonUnknownPath, "/a/nothing/q"},
		"system's own key":      {change("x", "/system/teams/system", 0, teamValue("a")), ReasonUnknownPath, ""},
		"stale base":            {change("x", "/a/pools/p", 0, enginePool), ReasonConflict, `changed by "a" with change "3" at offset 3`},
		"base of absent path":   {change("x", "/a/pools/q", 3, enginePool), ReasonConflict, "revision 0"},
		"decided before":        {change("3", "/a/pools/q", 0, enginePool), ReasonDuplicate, "at offset 3"},
		"missing pool":          {change("x", "/a/routes/q", 0, `{"pool":"none","model":"m"}`), ReasonInvalid, `found "none", expected a pool of team a`},
		"pool in use":           {change("x", "/a/pools/p", 3, ""), ReasonInvalid, "/a/routes/r refers to it"},
		"route in use":          {change("x", "/a/routes/r", 4, ""), ReasonInvalid, "/a/accounts/c refers to it"},
		"team in use":           {change("x", "/system/teams/a", 1, ""), ReasonInvalid, "refers to it"},
		"kind under a route":    {change("x", "/a/pools/p", 3, servicePool), ReasonInvalid, "while route a/r uses the pool"},
		"delete nothing":        {change("x", "/a/pools/q", 0, ""), ReasonInvalid, "nothing to delete"},
		"key of another":        {change("x", "/b/accounts/c", 0, accountValue('1', "")), ReasonInvalid, "another account"},
		"missing route":         {change("x", "/a/accounts/d", 0, accountValue('2', `"none"`)), ReasonInvalid, "a route of team a"},
		"engine route never":    {change("x", "/a/routes/q", 0, `{"pool":"p","model":"m","repeat":"never"}`), ReasonInvalid, "repeat"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := baseState(t)
			before := s.Compile()
			v := s.Apply(record(6, c.change))
			is.Equal(v.Reason, c.want)
			is.Equal(v.Accepted, c.want == "")
			is.Equal(s.Applied(), port.Offset(6))
			if c.want != "" {
				is.True(strings.Contains(v.Err.Error(), c.text)) // error text
				before.Applied = 6
				is.Equal(s.Compile(), before) // state is unchanged
			}
		})
	}
}

// Guards against a conflict error that does not identify the deletion that caused
// it, and against a late duplicate that restores a deleted path.
func TestDeletedPath(t *testing.T) {
	is := is.New(t)
	s := baseState(t)
	is.True(s.Apply(record(6, change("del", "/a/accounts/c", 5, ""))).Accepted)
	var conflict *ConflictError
	is.True(errors.As(s.Apply(record(7, change("late", "/a/accounts/c", 5, accountValue('2', "")))).Err, &conflict))
	is.Equal(*conflict, ConflictError{Path: "/a/accounts/c", BaseRevision: 5, OtherID: "del", OtherAuthor: "a", OtherOffset: 6})
	is.Equal(s.Apply(record(8, change("5", "/a/accounts/c", 0, accountValue('1', `"r"`)))).Reason, ReasonDuplicate)
	is.True(s.Apply(record(9, change("new", "/b/accounts/c", 0, accountValue('1', "")))).Accepted) // the API key is available again
}

// Guards against problems that are reported one at a time or without the field,
// and against invalid values that encoding/json accepts.
func TestValueProblems(t *testing.T) {
	cases := map[string]struct {
		path, value string
		want        []string
	}{
		"all at once": {"/a/pools/p",
			`{"kind":"engin","slots":0,"block_bytes":"x","Slots":3,"targets":[{"name":"e","address":"nowhere","region":"r"}]}`,
			[]string{`kind: found "engin", expected "engine" or "service"`, `slots: found 0, expected 1 to 100000`,
				`block_bytes: found "x", expected a whole number`, "Slots: found an unknown field",
				`targets[0].address: found "nowhere", expected host:port`, "targets[0].availability_zone: found nothing"}},
		"service with model": {"/a/pools/q", strings.Replace(servicePool, `{`, `{"model":"m",`, 1), []string{"model: found"}},
		"no targets":         {"/a/pools/p", `{"kind":"engine","model":"m","targets":[]}`, []string{"targets: found no target"}},
		"same address":       {"/a/pools/p", strings.Replace(enginePool, `"targets":[`, `"targets":[{"name":"e2","address":"127.0.0.1:1","region":"r","availability_zone":"z"},`, 1), []string{"targets.address[1]"}},
		"null":               {"/a/routes/r", `{"pool":null}`, []string{"pool: found null, expected a string"}},
		"route and pool":     {"/a/routes/r", `{"pool":"none","timeout_ms":-1,"weights":{"recompute":-2}}`, []string{"pool: found", "timeout_ms: found -1", "weights.recompute: found -2"}},
		"fraction":           {"/a/routes/r", `{"pool":"p","model":"m","priority":1.5}`, []string{"priority: found 1.5"}},
		"account":            {"/a/accounts/d", `{"key_sha256":["AB"],"routes":[],"limits":{"concurrency":-1},"share":0}`, []string{"key_sha256[0]", "limits.concurrency: found -1", "share: found 0"}},
		"team":               {"/system/teams/n", `{"public_key":"AAAA"}`, []string{"public_key: found"}},
		"array":              {"/a/routes/q", `[]`, []string{"found an array, expected an object"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := baseState(t)
			base := s.Compile().Revisions[c.path]
			var inv *InvalidError
			is.True(errors.As(s.Apply(record(6, change("x", c.path, base, c.value))).Err, &inv))
			text := inv.Error()
			for _, want := range c.want {
				if !strings.Contains(text, c.path+": "+want) && !strings.Contains(text, want) {
					t.Errorf("%q lacks %q", text, want)
				}
			}
			is.Equal(len(inv.Problems), len(c.want))
		})
	}
}

// Guards against accepting malformed change records, and against a state that
// accepts no changes after one.
func TestMalformedRecords(t *testing.T) {
	good := string(record(1, change("x", "/a/pools/q", 0, enginePool)).Data)
	for name, data := range map[string]string{
		"empty": "", "not JSON": "{", "array": "[]", "unknown field": `{"x":1,` + good[1:], "field twice": `{"id":"y",` + good[1:],
		"other spelling": strings.Replace(good, `"id"`, `"ID"`, 1), "text after": good + "{}", "deep": strings.Repeat("[", 1e6),
		"value and delete": `{"delete":true,` + good[1:], "neither": `{"id":"x","author":"a","path":"/a/pools/q","base_revision":0,"signature":""}`,
		"field twice in value": strings.Replace(good, `"kind"`, `"kind":"service","kind"`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := baseState(t)
			v := s.Apply(port.Record{Offset: 6, Data: []byte(data)})
			is.Equal(v.Reason, ReasonMalformed)
			is.True(s.Apply(record(7, change("y", "/a/pools/q", 0, enginePool))).Accepted)
		})
	}
}

// Guards against missing defaults and against snapshots that share mutable
// memory.
func TestCompile(t *testing.T) {
	is := is.New(t)
	s := baseState(t)
	first := s.Compile()
	pool, route := first.Pools[Ref{"a", "p"}], first.Routes[Ref{"a", "r"}]
	is.Equal([]int{pool.Slots, pool.PrefillTokensPerSecond, pool.BlockBytes, route.TimeoutMs, route.KeyRetentionS}, []int{32, 20000, 256, 60000, 86400})
	is.Equal(route.Repeat, RepeatAny)
	is.Equal(route.Weights.CrossRegionMsPerMiB, 5.0)
	pool.Targets[0].Name = "changed"
	first.Accounts[Ref{"a", "c"}].Routes[0] = "changed"
	delete(first.Teams, "a")
	second := s.Compile()
	is.Equal(second.Pools[Ref{"a", "p"}].Targets[0].Name, "e1")
	is.Equal(second.Accounts[Ref{"a", "c"}].Routes[0], "r")
	is.Equal(len(second.Teams), 2)
}

// Guards against a signature that depends on formatting or does not cover all
// fields.
func TestSignature(t *testing.T) {
	is := is.New(t)
	c := change("x", "/a/pools/q", 0, `{"kind": "engine", "model": "<m>"}`)
	c.Value = json.RawMessage(`{"model":"\u003cm>","kind":"engine"}`)
	is.True(Verify(c, publicKey("a")))
	is.True(!Verify(c, publicKey("b")))
	for i, other := range []Change{
		{ID: "y", Author: c.Author, Path: c.Path, Value: c.Value}, {ID: c.ID, Author: "b", Path: c.Path, Value: c.Value},
		{ID: c.ID, Author: c.Author, Path: "/a/pools/r", Value: c.Value}, {ID: c.ID, Author: c.Author, Path: c.Path, Delete: true},
		{ID: c.ID, Author: c.Author, Path: c.Path, Value: json.RawMessage(`{}`)}, {ID: c.ID, Author: c.Author, Path: c.Path, Value: c.Value, BaseRevision: 1},
	} {
		other.Signature = c.Signature
		if Verify(other, publicKey("a")) {
			t.Error("signature does not cover case " + strconv.Itoa(i))
		}
	}
}

// Guards against example configurations that are rejected.
func TestExamplesAreAccepted(t *testing.T) {
	for _, file := range []string{"kabelgang", "kaisla"} {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile("../../../examples/" + file + "/config.jsonc")
			is.NoErr(err)
			text, err = hujson.Standardize(text)
			is.NoErr(err)
			var values map[string]json.RawMessage
			is.NoErr(json.Unmarshal(text, &values))
			s := NewState(publicKey(SystemTeam))
			for _, kind := range []Kind{KindPool, KindRoute, KindAccount} {
				for path, value := range values {
					if p, err := ParsePath(path); err != nil || p.Kind == kind {
						is.NoErr(err)
						is.NoErr(s.set(p, value))
					}
				}
			}
		})
	}
}
