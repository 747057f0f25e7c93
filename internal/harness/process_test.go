package harness

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against reporting a process that ended by itself as one that was stopped, and
// the other way round.
func TestUnexpectedExit(t *testing.T) {
	is := is.New(t)
	crashed, err := StartProcess(t.TempDir(), "crashed", "sh", "-c", "echo out of order; exit 3")
	is.NoErr(err)
	<-crashed.Exited()
	killed, err := StartProcess(t.TempDir(), "killed", "sleep", "60")
	is.NoErr(err)
	is.Equal(killed.UnexpectedExit(), "") // it runs
	killed.Kill()

	is.Equal(crashed.UnexpectedExit(), "crashed ended by itself, exit status 3: out of order")
	is.Equal(killed.UnexpectedExit(), "")

	s := &System{Log: &Standin{Process: crashed}, App: &Standin{Process: killed}, Routers: []*Router{{}, {Process: crashed}}}
	is.Equal(len(s.UnexpectedExits()), 2)
	is.True(strings.HasPrefix(s.UnexpectedExits()[0], "crashed "))
}
