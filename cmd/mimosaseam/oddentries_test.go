package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// soundAnswer answers every request.
func soundAnswer(c *platformtest.RawConn, r *http.Request, _ int) bool {
	return c.Send(platformtest.Whole(r, "own"))
}

// Guards against one odd entry in the list of targets that ends the router, stops it from
// following the list, or takes requests.
func TestOddEntriesAreHarmless(t *testing.T) {
	is := is.New(t)
	sound := newRawTarget(t, "d8", "", soundAnswer)
	s := newFaultGateway(t, []*platformtest.RawTarget{sound}, nil)
	for name, text := range platformtest.OddEntries() {
		s.log.PutEntry(strings.ReplaceAll(name, " ", "-"), []byte(text))
	}
	s.followsTheList("d9")
	for _, target := range s.node.dir.All() {
		if target.ID != "d8" && target.ID != "d9" {
			t.Error("a target:", target.ID)
		}
	}
	for i := range 4 {
		status, body, complete := s.call(fmt.Sprint("r", i), "/book/")
		is.Equal(status, http.StatusOK)
		is.Equal(body, "own")
		is.True(complete)
	}
}

// followsTheList adds a target to the list and waits until the router knows it.
func (s *testGateway) followsTheList(id string) {
	s.t.Helper()
	added := newRawTarget(s.t, id, "", soundAnswer)
	s.log.PutTarget(added.Target, "desk", false, 1)
	s.await("the target "+id, func() bool {
		for _, target := range s.node.dir.All() {
			if target.ID == id {
				return true
			}
		}
		return false
	})
}

// Guards against a target that is lost for good because another writer once wrote an odd
// entry under its id.
func TestTargetIsBackAfterAnOddEntryUnderItsID(t *testing.T) {
	sound := newRawTarget(t, "d8", "", soundAnswer)
	s := newFaultGateway(t, []*platformtest.RawTarget{sound}, nil)
	id := func(name string) string { return strings.ReplaceAll(name, " ", "-") }
	put := func() {
		for name := range platformtest.OddEntries() {
			target := platformtest.NewTarget(id(name), "")
			target.Address = sound.Address
			s.log.PutTarget(target, "desk", false, 1)
		}
	}
	put()
	s.await("all targets", func() bool { return len(s.node.dir.All()) == 1+len(platformtest.OddEntries()) })
	for name, text := range platformtest.OddEntries() {
		s.log.PutEntry(id(name), []byte(text))
	}
	s.followsTheList("d9")
	put()
	for name := range platformtest.OddEntries() {
		s.await(name, func() bool {
			for _, target := range s.node.dir.All() {
				if target.ID == id(name) {
					return target.Address == sound.Address
				}
			}
			return false
		})
	}
}
