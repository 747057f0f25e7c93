package main

import (
	"net/http"
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
	for name, text := range platformtest.OddEntries() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sound := newRawTarget(t, "d8", "", soundAnswer)
			s := newFaultGateway(t, []*platformtest.RawTarget{sound}, nil)
			s.log.PutEntry("odd", []byte(text))
			s.followsTheList("d9")
			for _, target := range s.node.dir.All() {
				is.True(target.ID == "d8" || target.ID == "d9")
			}
			status, body, complete := s.call("r1", "/book/")
			is.Equal(status, http.StatusOK)
			is.Equal(body, "own")
			is.True(complete)
		})
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
	for name, text := range platformtest.OddEntries() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sound := newRawTarget(t, "d8", "", soundAnswer)
			s := newFaultGateway(t, []*platformtest.RawTarget{sound}, nil)
			s.log.PutEntry("d8", []byte(text))
			s.followsTheList("d9")
			s.log.PutTarget(sound.Target, "desk", false, 1)
			s.await("the target", func() bool {
				for _, target := range s.node.dir.All() {
					if target.ID == "d8" {
						return target.Address == sound.Address
					}
				}
				return false
			})
		})
	}
}
