package main

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// Guards against a record without a key, or with an odd one, that stops the router from
// following the list of targets or makes it use an entry under no id.
func TestOddKeysAreHarmless(t *testing.T) {
	for name, content := range platformtest.OddRecords() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sound := newRawTarget(t, "d8", "", soundAnswer)
			s := newFaultGateway(t, []*platformtest.RawTarget{sound}, nil)
			s.log.PutEntryRecord(content)
			s.followsTheList("d9")
			is.Equal(len(s.node.dir.All()), 2)
			for i := range 4 {
				status, _, _ := s.call(fmt.Sprint("r", i), "/book/")
				is.Equal(status, http.StatusOK)
			}
		})
	}
}
