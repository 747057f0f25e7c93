package targetstate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a later statement that postpones the time at which a target began to leave.
func TestTheFirstStatementOfLeavingCounts(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	var s Statements
	is.True(!s.Leaving())
	is.True(s.Leave(start))
	is.True(!s.Leave(start.Add(time.Second)))
	is.True(s.Leaving())
	is.Equal(s.LeavingSince(), start)
}
