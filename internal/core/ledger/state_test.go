package ledger

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

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

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	testKey = Key{Account: "acct", Value: "k"}
)

const lifetime = 24 * time.Hour

func intent(attempt string, base port.Offset, change ...func(*Intent)) Record {
	in := Intent{Key: testKey, BodyHash: "body", Attempt: attempt, Base: base, Expires: start.Add(lifetime)}
	for _, c := range change {
		c(&in)
	}
	return Record{Intent: &in}
}

func otherBody(in *Intent) { in.BodyHash = "other" }

func resendable(supersedes string) func(*Intent) {
	return func(in *Intent) { in.Resendable, in.Supersedes = true, supersedes }
}

func notRun(attempt string) Record {
	return Record{NotRun: &NotRun{Key: testKey, Attempt: attempt, Expires: start.Add(lifetime)}}
}

func outcome(attempt string) Record {
	return Record{Outcome: &Outcome{Key: testKey, Attempt: attempt, BodyHash: "body", Status: 200, Body: []byte(attempt), Expires: start.Add(lifetime)}}
}

func logged(offset port.Offset, r Record) port.Record {
	data, err := Encode(r)
	if err != nil {
		panic(err)
	}
	return port.Record{Offset: offset, AppendedAt: start.Add(time.Duration(offset) * time.Minute), Data: data}
}

// Guards against two winners of a key, against an attempt that wins after it was
// closed, and against an outcome that is overwritten.
func TestDecisions(t *testing.T) {
	cases := map[string]struct {
		records []Record
		last    Decision // on the last intent
		status  Status
		attempt string
	}{
		"first wins":                    {[]Record{intent("a", 0)}, Won, Pending, "a"},
		"second loses":                  {[]Record{intent("a", 0), intent("b", 1)}, Lost, Pending, "a"},
		"after the outcome":             {[]Record{intent("a", 0), outcome("a"), intent("b", 2)}, Lost, Done, "a"},
		"same record again":             {[]Record{intent("a", 0), intent("a", 0)}, Repeated, Pending, "a"},
		"another body":                  {[]Record{intent("a", 0), intent("b", 1, otherBody)}, Reused, Pending, "a"},
		"another body after not_run":    {[]Record{intent("a", 0), notRun("a"), intent("b", 2, otherBody)}, Reused, Open, "a"},
		"not_run opens":                 {[]Record{intent("a", 0), notRun("a"), intent("b", 2)}, Won, Pending, "b"},
		"not_run closes earlier":        {[]Record{intent("a", 0), notRun("a"), intent("b", 1)}, Closed, Open, "a"},
		"closed attempt again":          {[]Record{intent("a", 0), notRun("a"), intent("a", 9)}, Closed, Open, "a"},
		"not_run before its intent":     {[]Record{notRun("a"), intent("a", 0)}, Closed, Open, ""},
		"not_run of a loser":            {[]Record{intent("a", 0), notRun("b"), intent("c", 2)}, Lost, Pending, "a"},
		"late not_run":                  {[]Record{intent("a", 0), notRun("a"), intent("b", 2), notRun("a"), intent("c", 4)}, Lost, Pending, "b"},
		"not_run after the outcome":     {[]Record{intent("a", 0), outcome("a"), notRun("a"), intent("b", 3)}, Lost, Done, "a"},
		"outcome of a loser":            {[]Record{intent("a", 0), outcome("b")}, Won, Pending, "a"},
		"second outcome":                {[]Record{intent("a", 0), outcome("a"), outcome("b")}, Won, Done, "a"},
		"outcome without intent":        {[]Record{outcome("a"), intent("b", 1)}, Lost, Done, "a"},
		"takeover":                      {[]Record{intent("a", 0, resendable("")), intent("b", 1, resendable("a"))}, Won, Pending, "b"},
		"takeover of another attempt":   {[]Record{intent("a", 0, resendable("")), intent("b", 1, resendable("x"))}, Lost, Pending, "a"},
		"takeover, not resendable":      {[]Record{intent("a", 0), intent("b", 1, resendable("a"))}, Lost, Pending, "a"},
		"outcome of superseded attempt": {[]Record{intent("a", 0, resendable("")), intent("b", 1, resendable("a")), outcome("a")}, Won, Done, "a"},
		"not_run after a takeover":      {[]Record{intent("a", 0, resendable("")), intent("b", 1, resendable("a")), notRun("b"), intent("c", 3)}, Lost, Pending, "b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewState(1)
			var last Decision
			for i, r := range c.records {
				effect := s.Apply(logged(port.Offset(i+1), r))
				is.NoErr(effect.Err)
				if effect.Decision != "" {
					last = effect.Decision
				}
			}
			e := s.Lookup(testKey)
			is.Equal(last, c.last)
			is.Equal(e.Status, c.status)
			is.Equal(e.Attempt, c.attempt)
		})
	}
}

// Guards against expiry that differs between routers, entries that are not
// removed, and a malformed record that prevents later ones from being applied.
func TestExpiryAndMalformedRecords(t *testing.T) {
	is := is.New(t)
	s := NewState(1)
	s.Apply(logged(1, intent("a", 0)))
	for i, data := range []string{"", "{}", `{"intent":{}}`, `{"carry":{}}`, `{"not_run":{"attempt":"a"},"outcome":{}}`, "[1]"} {
		is.True(s.Apply(port.Record{Offset: port.Offset(i + 2), Data: []byte(data)}).Err != nil)
	}
	is.Equal(s.Apply(logged(9, notRun("a"))), Effect{}) // not the next record
	is.Equal(s.Lookup(testKey).Status, Pending)
	late := logged(8, intent("b", 7, func(in *Intent) { in.Expires = start.Add(3 * lifetime) }))
	late.AppendedAt = start.Add(lifetime + time.Second)
	is.Equal(s.Apply(late).Decision, Won) // the key had expired
	s.Prune()
	is.True(s.Bytes() > 0)
	late = logged(9, intent("c", 8, func(in *Intent) { in.Key.Value = "other" }))
	late.AppendedAt = start.Add(4 * lifetime)
	s.Apply(late)
	s.Prune()
	is.Equal(s.Bytes(), 0)
}

// Guards against a reader that starts after records expired and takes a key for
// open, or has another outcome for it, although the entry was carried forward;
// and against a carried entry that overrides records which a reader has applied.
func TestCarriedEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var log []port.Record
		whole, reference := NewState(1), NewState(1) // reference gets no carries
		add := func(r Record) {
			rec := logged(port.Offset(len(log)+1), r)
			log = append(log, rec)
			whole.Apply(rec)
			if r.Carry != nil {
				rec.Data = nil
			}
			reference.Apply(rec)
			is.Equal(whole.Lookup(testKey).Status, reference.Lookup(testKey).Status)
			is.Equal(whole.Lookup(testKey).Attempt, reference.Lookup(testKey).Attempt)
		}
		step := func(i int) {
			attempt := fmt.Sprint("a", rapid.IntRange(max(0, i-3), i).Draw(t, "attempt"))
			switch current := reference.Lookup(testKey); rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				add(intent(attempt, whole.Applied()))
			case 2:
				add(notRun(attempt))
			case 3: // routers append an outcome only for a winner
				if current.Status == Pending {
					add(outcome(current.Attempt))
				}
			case 4: // a router whose state may be behind
				behind := NewState(1)
				for _, rec := range log[:rapid.IntRange(0, len(log)).Draw(t, "applied")] {
					behind.Apply(rec)
				}
				for _, c := range behind.DueCarries(start.Add(lifetime), 10) {
					add(Record{Carry: &c})
				}
			}
		}
		for i := range rapid.IntRange(1, 10).Draw(t, "before") {
			step(i)
		}
		from := port.Offset(len(log) + 1) // earlier records expire
		carries := whole.DueCarries(start.Add(lifetime), 10)
		for _, c := range carries {
			add(Record{Carry: &c})
		}
		late := NewState(from)
		compare := func() {
			for _, rec := range log[late.Applied():] {
				late.Apply(rec)
			}
			want, got := reference.Lookup(testKey), late.Lookup(testKey)
			is.Equal(got.Status, want.Status)
			if want.Status != Open {
				is.Equal(got.Attempt, want.Attempt)
				is.Equal(string(got.ResultBody), string(want.ResultBody))
			}
		}
		compare()
		for i := range 5 {
			step(20 + i)
			compare()
		}
	})
}

// Guards against panics on any record.
func FuzzApply(f *testing.F) {
	for _, r := range []Record{intent("a", 0), notRun("a"), outcome("a"), {Carry: &Carry{Entry: Entry{Key: testKey, Status: Done, Attempt: "a", Expires: start.Add(lifetime)}}}} {
		data, err := Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState(1)
		s.Apply(logged(1, intent("a", 0)))
		s.Apply(port.Record{Offset: 2, AppendedAt: start, Data: data})
		s.Apply(logged(3, outcome("a")))
		if e := s.Lookup(testKey); e.Status == Pending {
			t.Fatalf("outcome was not applied: %+v", e)
		}
		s.DueCarries(start.Add(lifetime), 10)
		s.Prune()
	})
}
