package peergrpc

import (
	"errors"
	"flag"
	"math"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "mimosaseam.example/mimosaseam/api/peer/v1"
	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/port"
)

// TestMain fixes the seed of the property test unless a flag sets another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// drawHandler answers draws.
type drawHandler struct {
	*handler
	got    allotment.Draw
	answer allotment.Answer
}

func (h *drawHandler) HandleDraw(d allotment.Draw) (allotment.Answer, error) {
	h.got = d
	return h.answer, nil
}

func testDraw() allotment.Draw {
	return allotment.Draw{Router: "r1", Incarnation: 1_767_225_600_000, Group: 1, Groups: 2, Ticket: 7, TicketOf: 1 << 63,
		Term: 4050 * time.Millisecond, Routers: 540, MayAttach: true, Wants: []allotment.Want{
			{Key: "a", Tokens: 700, Least: 400, Ahead: 300, Unit: 60, Returned: 20, Spent: 7, GrantTicket: 9, Charged: 3, Refused: 800,
				Limit: allotment.Limit{Rate: 1000.5, Burst: 3000, Debt: true}},
			{Key: "b", Tokens: 1},
			{Key: "a", Returned: 4, Spent: 1, GrantTicket: 8},
			{Key: "c", Returned: 1, GrantTicket: 8},
		}}
}

// Guards against draws and answers that are lost or changed on the way, grants that a second
// want of their key doubles, and calls to a
// router of an earlier version that seem to have granted something.
func TestDrawReachesPeers(t *testing.T) {
	is := is.New(t)
	c := NewClient(nil)
	defer c.Close()
	h := &drawHandler{handler: &handler{}, answer: allotment.Answer{Ticket: 11, Incarnation: 12, Majority: true, Grants: []allotment.Grant{
		{Key: "b", Tokens: 1}, {Key: "a", Tokens: 650, Wait: 1500 * time.Microsecond, Backlog: 2 * time.Second}}}}
	address, _ := serve(t, h, nil)
	answer, err := c.Draw(t.Context(), address, testDraw())
	is.NoErr(err)
	is.Equal(h.got, testDraw())
	is.Equal(answer, allotment.Answer{Ticket: 11, Incarnation: 12, Majority: true, Grants: []allotment.Grant{
		{Key: "a", Tokens: 650, Wait: 2 * time.Millisecond, Backlog: 2 * time.Second}, {Key: "b", Tokens: 1}}})
	h.answer = allotment.Answer{Redirect: "r2"}
	answer, err = c.Draw(t.Context(), address, testDraw())
	is.NoErr(err)
	is.Equal(answer, allotment.Answer{Redirect: "r2"})
	older, _ := serve(t, &handler{}, nil)
	_, err = c.Draw(t.Context(), older, testDraw())
	var unknown *port.BadRequestError
	is.True(errors.As(err, &unknown))
}

// Guards against a field of the decision code that is not sent: the draw of the other tests
// must use all of them.
func TestDrawsUseAllFields(t *testing.T) {
	is := is.New(t)
	d := testDraw()
	for _, v := range []reflect.Value{reflect.ValueOf(d), reflect.ValueOf(d.Wants[0]), reflect.ValueOf(d.Wants[0].Limit)} {
		for i := range v.NumField() {
			if v.Field(i).IsZero() {
				t.Errorf("%s of %s", v.Type().Field(i).Name, v.Type())
			}
		}
	}
	is.Equal(reflect.TypeFor[allotment.Answer]().NumField(), 5)
	is.Equal(reflect.TypeFor[allotment.Grant]().NumField(), 4)
}

// Guards against values of a peer that overflow, fill the memory or are no number.
func TestAbsurdDrawsAreRejected(t *testing.T) {
	for name, change := range map[string]func(d *allotment.Draw){
		"no sender":       func(d *allotment.Draw) { d.Router = "" },
		"long sender":     func(d *allotment.Draw) { d.Router = strings.Repeat("r", maxNameBytes+1) },
		"no groups":       func(d *allotment.Draw) { d.Groups = 0 },
		"many groups":     func(d *allotment.Draw) { d.Groups = 1 << 30 },
		"group":           func(d *allotment.Draw) { d.Group = 2 },
		"long term":       func(d *allotment.Draw) { d.Term = 1000 * time.Hour },
		"many routers":    func(d *allotment.Draw) { d.Routers = 1 << 30 },
		"no key":          func(d *allotment.Draw) { d.Wants[0].Key = "" },
		"long key":        func(d *allotment.Draw) { d.Wants[0].Key = allotment.Key(strings.Repeat("k", maxKeyBytes+1)) },
		"many keys":       func(d *allotment.Draw) { d.Wants = make([]allotment.Want, maxWants+1) },
		"NaN":             func(d *allotment.Draw) { d.Wants[0].Tokens = math.NaN() },
		"negative":        func(d *allotment.Draw) { d.Wants[0].Returned = -1 },
		"huge":            func(d *allotment.Draw) { d.Wants[0].Ahead = 1e30 },
		"infinite":        func(d *allotment.Draw) { d.Wants[0].Charged = math.Inf(1) },
		"NaN least":       func(d *allotment.Draw) { d.Wants[0].Least = math.NaN() },
		"negative refuse": func(d *allotment.Draw) { d.Wants[1].Refused = -1 },
		"rate":            func(d *allotment.Draw) { d.Wants[0].Limit.Rate = math.NaN() },
		"burst":           func(d *allotment.Draw) { d.Wants[0].Limit.Burst = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			d := testDraw()
			change(&d)
			_, ok := fromDraw(toDraw(d))
			is.New(t).True(!ok)
		})
	}
}

// Guards against answers that grant tokens of another message, or absurd numbers of them.
func TestAbsurdAnswersAreRejected(t *testing.T) {
	wants := testDraw().Wants[:2]
	none := []uint32{0, 0}
	for i, in := range []*peerv1.DrawResponse{
		{}, {Tokens: []float32{1}, WaitMs: none, BacklogMs: none}, {Tokens: []float32{1, 2, 3}, WaitMs: none, BacklogMs: none}, {Tokens: []float32{1, 2}, WaitMs: none},
		{Tokens: []float32{1, float32(math.NaN())}, WaitMs: none, BacklogMs: none}, {Tokens: []float32{-1, 0}, WaitMs: none, BacklogMs: none},
		{Tokens: []float32{1, float32(math.Inf(1))}, WaitMs: none, BacklogMs: none}, {Tokens: []float32{1, 0}, WaitMs: []uint32{math.MaxUint32, 0}, BacklogMs: none},
		{Tokens: []float32{1, 0}, WaitMs: none, BacklogMs: []uint32{0, math.MaxUint32}},
		{Redirect: strings.Repeat("r", maxNameBytes+1)},
	} {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			_, ok := fromAnswer(in, wants)
			is.New(t).True(!ok)
		})
	}
}

// Guards against an encoding that grants or gives back more than there was, or that grants
// less than the request in front needs.
func TestAmountsAreRoundedToTheSafeSide(t *testing.T) {
	const relative, absolute = 2e-7, 1e-30 // float32 has no relative precision below about 1e-38
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Float64Range(0, 1e12).Draw(t, "n")
		if up, down := float64(roundUp(n)), float64(roundDown(n)); up < n || down > n || up > n*(1+relative)+absolute || down < n*(1-relative)-absolute {
			t.Fatalf("%v is sent as %v and %v", n, up, down)
		}
	})
}

// Guards against messages that cost more of the link than the control plane may use. A router
// of a deployment with 61 VMs sends one of 16 accounts twice a second at most.
func TestSizeOfDraws(t *testing.T) {
	d := testDraw()
	d.Wants = nil
	for i := range 16 {
		w := testDraw().Wants[0]
		w.Key = allotment.Key("account-" + strconv.Itoa(i))
		w.Least, w.Charged, w.Refused = 0, 0, 0
		d.Wants = append(d.Wants, w)
	}
	request, response := proto.Size(toDraw(d)), proto.Size(toAnswer(allotment.Answer{Ticket: 1 << 50, Incarnation: 1 << 41}, d.Wants))
	t.Logf("%d and %d bytes", request, response)
	is.New(t).True(request <= 1000)
	is.New(t).True(response <= 150)
}

// BenchmarkDraw sends the regular message of a router with two active accounts over loopback.
func BenchmarkDraw(b *testing.B) {
	h := &drawHandler{handler: &handler{}, answer: allotment.Answer{Ticket: 1 << 60, Incarnation: 1 << 60, Majority: true,
		Grants: []allotment.Grant{{Key: "a", Tokens: 600}}}}
	address, listener := serve(b, h, nil)
	c := NewClient(nil)
	defer c.Close()
	d := testDraw()
	d.Wants = d.Wants[:2]
	run := func() {
		_, err := c.Draw(b.Context(), address, d)
		is.New(b).NoErr(err)
	}
	run()
	before := listener.bytes.Load()
	for b.Loop() {
		run()
	}
	b.ReportMetric(float64(listener.bytes.Load()-before)/float64(b.N), "wire-B/op")
}
