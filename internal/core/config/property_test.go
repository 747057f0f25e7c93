package config

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosaseam.example/mimosaseam/internal/port"
)

// TestMain fixes the seed of property tests, unless the command line sets one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// drawLog draws interleaved changes of two teams to the same few paths, with
// stale bases, deletions, duplicates and malformed records.
func drawLog(t *rapid.T) []port.Record {
	paths := []string{"/a/pools/p", "/a/pools/q", "/a/routes/r", "/a/accounts/c", "/system/teams/a", "/system/teams/b"}
	values := map[string][]string{
		"/a/pools/p": {enginePool, servicePool, ""}, "/a/pools/q": {enginePool, ""},
		"/a/routes/r":     {`{"pool":"p","model":"m"}`, `{"pool":"q","model":"m"}`, `{"pool":"p","repeat":"never"}`, ""},
		"/a/accounts/c":   {accountValue('1', `"r"`), accountValue('2', ""), ""},
		"/system/teams/a": {teamValue("a"), ""}, "/system/teams/b": {teamValue("b"), ""},
	}
	var log []port.Record
	state := NewState(publicKey(SystemTeam))
	n := rapid.IntRange(1, 40).Draw(t, "records")
	for i := 1; i <= n; i++ {
		offset := port.Offset(i)
		path := rapid.SampledFrom(paths).Draw(t, "path")
		base := state.Compile().Revisions[path]
		if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
			base = port.Offset(rapid.IntRange(0, i).Draw(t, "base"))
		}
		rec := record(offset, change(strconv.Itoa(i), path, base, rapid.SampledFrom(values[path]).Draw(t, "value")))
		switch rapid.IntRange(0, 9).Draw(t, "form") {
		case 0:
			rec = port.Record{Offset: offset, Data: rapid.SliceOf(rapid.Byte()).Draw(t, "junk")}
		case 1, 2:
			if i > 1 {
				rec = port.Record{Offset: offset, Data: log[rapid.IntRange(0, i-2).Draw(t, "repeat")].Data}
			}
		}
		log = append(log, rec)
		state.Apply(rec)
	}
	return log
}

// Guards against a state that depends on how records were delivered (directly,
// through a snapshot or twice), and against a revision that goes back to that of
// an earlier change.
func TestAnyDeliveryGivesTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		log := drawLog(t)
		direct := NewState(publicKey(SystemTeam))
		restored := NewState(publicKey(SystemTeam))
		latest := map[string]port.Offset{}
		for _, rec := range log {
			v := direct.Apply(rec)
			for path, revision := range direct.Compile().Revisions {
				is.True(revision >= latest[path])
				latest[path] = revision
			}
			if v.Accepted && !v.Deleted {
				is.Equal(latest[v.Path], rec.Offset)
			}
			w := restored.Apply(rec)
			is.Equal([]any{w.Accepted, w.Reason, errText(w.Err)}, []any{v.Accepted, v.Reason, errText(v.Err)})
			if rapid.Bool().Draw(t, "snapshot") {
				data, err := restored.EncodeSnapshot()
				is.NoErr(err)
				restored, err = DecodeSnapshot(publicKey(SystemTeam), data)
				is.NoErr(err)
			}
			for rapid.IntRange(0, 3).Draw(t, "redeliver") == 0 {
				old := log[rapid.IntRange(0, int(rec.Offset)-1).Draw(t, "old")]
				is.Equal(restored.Apply(old).Reason, ReasonOutOfOrder)
			}
		}
		is.Equal(restored.Compile(), direct.Compile())
		a, _ := restored.EncodeSnapshot()
		b, _ := direct.EncodeSnapshot()
		is.Equal(string(a), string(b))
	})
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Guards against panics, and against a decoded change that differs after it is
// encoded and decoded again.
func FuzzChange(f *testing.F) {
	f.Add(record(1, change("x", "/a/pools/q", 0, enginePool)).Data)
	f.Add(record(1, change("x", "/a/pools/q", 0, "")).Data)
	f.Add([]byte(`{"id":"x","value":"\ud800","path":"/a/routes/\u0000"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		NewState(publicKey(SystemTeam)).Apply(port.Record{Offset: 1, Data: data})
		c, err := DecodeChange(data)
		if err != nil {
			return
		}
		again, err := EncodeChange(c)
		if err != nil {
			t.Fatal(err)
		}
		d, err := DecodeChange(again)
		if err != nil || d.ID != c.ID || d.Delete != c.Delete {
			t.Fatal(string(again), err)
		}
	})
}

// Guards against panics in the value decoders, and against a value that is
// accepted although its canonical form is rejected.
func FuzzValue(f *testing.F) {
	for _, value := range []string{enginePool, servicePool, teamValue("a"), accountValue('1', `"r"`), `{"pool":"p","weights":{"recompute":1e400}}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState(publicKey(SystemTeam))
		for _, kind := range []Kind{KindTeam, KindPool, KindRoute, KindAccount} {
			path := Path{Kind: kind, Ref: Ref{Team: "a", Name: "n"}}
			if s.set(path, data) != nil {
				continue
			}
			canonical, err := canonicalJSON(data)
			if err != nil || s.set(path, canonical) != nil {
				t.Fatalf("%s: canonical form %q is rejected: %v", kind, canonical, err)
			}
		}
	})
}

// Guards against panics, and against a restored state that is not encoded as the
// same snapshot record again.
func FuzzSnapshot(f *testing.F) {
	s := NewState(publicKey(SystemTeam))
	s.Apply(record(1, change("1", "/system/teams/a", 0, teamValue("a"))))
	s.Apply(record(2, change("2", "/a/pools/p", 0, enginePool)))
	s.Apply(record(3, change("3", "/a/pools/p", 2, "")))
	data, _ := s.EncodeSnapshot()
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := DecodeSnapshot(publicKey(SystemTeam), data)
		if err != nil {
			return
		}
		first, err := got.EncodeSnapshot()
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeSnapshot(publicKey(SystemTeam), first)
		if err != nil {
			t.Fatal(err)
		}
		if second, _ := again.EncodeSnapshot(); string(first) != string(second) {
			t.Fatalf("%s\n%s", first, second)
		}
	})
}
