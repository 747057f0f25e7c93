package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/app/gateway"
	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// beatOf returns the entry of a target with the sequence number of a heartbeat.
func beatOf(t *testing.T, target *platformtest.RawTarget, state string, born, sequence int64) []byte {
	t.Helper()
	service := "desk"
	if target.Model != "" {
		service = "llm"
	}
	var entry map[string]any
	if err := json.Unmarshal(target.Target.Entry(service, "z", state, born), &entry); err != nil {
		t.Fatal(err)
	}
	entry["Sequence"] = sequence
	text, err := json.Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// knows reports whether the router may use a target.
func (s *testGateway) knows(id string) bool {
	return slices.ContainsFunc(s.node.dir.All(), func(t gateway.Target) bool { return t.ID == id })
}

// Guards against requests to a target that has left, because one of its heartbeats was written
// after the removal of its entry, and against a target that is back and gets none.
func TestLateHeartbeatBringsNoTargetBack(t *testing.T) {
	is := is.New(t)
	left, other := newRawTarget(t, "d8", "", soundAnswer), newRawTarget(t, "d9", "", soundAnswer)
	s := newFaultGateway(t, []*platformtest.RawTarget{left, other}, nil, `"targets": {"heartbeat_ms": 200}`)
	s.log.KeepHeartbeats()
	isKnown := func() bool { return s.knows("d8") }
	calls := 0
	serve := func() {
		calls++
		status, _, _ := s.call(fmt.Sprint("r", calls), "/book/")
		is.Equal(status, http.StatusOK)
	}
	for sequence := int64(2); sequence < 6; sequence++ {
		s.log.PutEntry("d8", beatOf(t, left, "ready", 1, sequence))
	}
	s.followsTheList("d7")
	is.True(isKnown())
	s.log.RemoveTarget("d8")
	s.await("the removal", func() bool { return !isKnown() })
	s.log.PutEntry("d8", beatOf(t, left, "ready", 1, 4))
	s.followsTheList("d6")
	is.True(!isKnown())
	before := left.Requests()
	for range 50 {
		serve()
	}
	is.Equal(left.Requests(), before)
	s.log.PutEntry("d8", beatOf(t, left, "ready", 1, 6))
	s.await("the target that is back", isKnown)
	for _, id := range []string{"d6", "d7", "d9"} {
		s.log.RemoveTarget(id)
	}
	s.await("the removals", func() bool { return len(s.node.dir.All()) == 1 })
	serve()
	is.Equal(left.Requests(), before+1)
}

// maxReadInterval is the longest time between two reads of the targets' entries.
const maxReadInterval = time.Second

// Guards against requests to a target or an engine that has left, because of a late heartbeat
// that no router had read before; and against ones that get none after an outage of the log.
func TestUnreadHeartbeatBringsNoTargetBack(t *testing.T) {
	for name, setUp := range map[string]func(l *platformtest.Log){"all heartbeats are kept": (*platformtest.Log).KeepHeartbeats, "changes only": func(*platformtest.Log) {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			stream := func(c *platformtest.RawConn, r *http.Request, _ int) bool {
				return c.Send(platformtest.Whole(r, firstEvent))
			}
			left := []*platformtest.RawTarget{newRawTarget(t, "d8", "", soundAnswer), newRawTarget(t, "e8", platformtest.Model, stream)}
			stay := []*platformtest.RawTarget{newRawTarget(t, "d9", "", soundAnswer), newRawTarget(t, "e9", platformtest.Model, stream)}
			// An entry that is held back is used after 16 s, and after 16 s more if the log was away.
			s := newFaultGateway(t, []*platformtest.RawTarget{left[0], stay[0]}, []*platformtest.RawTarget{left[1], stay[1]}, `"targets": {"heartbeat_ms": 4000}`)
			setUp(s.log)
			calls := 0
			serve := func() {
				calls++
				status, _, _ := s.call(fmt.Sprint("b", calls), "/book/")
				is.Equal(status, http.StatusOK)
				status, _, _ = s.call(fmt.Sprint("s", calls), "/brief/", engineFields...)
				is.Equal(status, http.StatusOK)
			}
			s.await("requests at the target", func() bool { serve(); return left[0].Requests() > 0 })
			beat := func(targets []*platformtest.RawTarget, sequence int64) {
				for _, target := range targets {
					s.log.PutEntry(target.ID, beatOf(t, target, "ready", 1, sequence))
				}
			}
			remove := func(targets []*platformtest.RawTarget) {
				for _, target := range targets {
					s.log.RemoveTarget(target.ID)
				}
			}
			knowsAny := func(targets []*platformtest.RawTarget) bool { return s.knows(targets[0].ID) || s.knows(targets[1].ID) }
			beat(left, 2)
			remove(left)
			s.await("the removals", func() bool { return !knowsAny(left) })
			beat(left, 9)
			s.followsTheList("d7")
			is.True(!knowsAny(left))
			before := []int{left[0].Requests(), left[1].Requests()}
			for range 50 {
				serve()
			}
			is.Equal([]int{left[0].Requests(), left[1].Requests()}, before)

			s.log.SetFaults(platformtest.LogFaults{Busy: true})
			lost := time.Now()
			s.await("an outage of two heartbeat intervals", func() bool { return time.Since(lost) > 8*time.Second+maxReadInterval })
			remove(stay)
			s.log.SetFaults(platformtest.LogFaults{})
			s.await("the removals", func() bool { return !knowsAny(stay) })
			beat(stay, 3)
			s.await("the targets that are back", func() bool { return s.knows("d9") && s.knows("e9") })
			is.True(!knowsAny(left))
		})
	}
}

// Guards against a target that was frozen, lost its entry, and gets no requests when it is back.
func TestFrozenTargetIsUsedWhenItIsBack(t *testing.T) {
	is := is.New(t)
	thawed := make(chan struct{})
	defer close(thawed)
	frozen := newRawTarget(t, "d8", "", func(c *platformtest.RawConn, r *http.Request, _ int) bool {
		<-thawed
		return false
	})
	sound := newRawTarget(t, "d9", "", soundAnswer)
	s := newFaultGateway(t, []*platformtest.RawTarget{frozen, sound}, nil, `"targets": {"heartbeat_ms": 1000}`)
	calls := 0
	s.await("a target that owes responses", func() bool {
		calls++
		s.call(fmt.Sprint("b", calls), "/book/")
		return s.node.dir.IsSilent("d8", silenceHeartbeats*time.Second)
	})
	targets := []*platformtest.RawTarget{frozen, sound}
	for _, target := range targets {
		s.log.RemoveTarget(target.ID)
	}
	s.await("the removals", func() bool { return !s.knows("d8") && !s.knows("d9") })
	for _, target := range targets {
		s.log.PutEntry(target.ID, beatOf(t, target, "ready", 1, 9))
	}
	s.await("the target that was frozen", func() bool { return s.knows("d8") })
	is.True(!s.knows("d9"))
}
