package harness

import (
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// standinScript prints its address, as the stand-ins do, and runs until it is killed.
const standinScript = `#!/bin/sh
address=127.0.0.1:0
[ "$1" = --address ] && address=$2
echo "{\"address\":\"$address\"}"
exec sleep 60
`

// Guards against clients of a killed stand-in that reach another system on its port.
func TestSystemsShareNoAddress(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "standin"), []byte(standinScript), 0o700))
	start := func() *Standin {
		s := &System{Options: Options{BinDir: dir, Dir: t.TempDir()}, host: nextHost()}
		e, err := s.startStandin(t.Context(), "engine-1", "engine")
		is.NoErr(err)
		t.Cleanup(e.Kill)
		return e
	}
	hostOf := func(address string) string {
		host, _, err := net.SplitHostPort(address)
		is.NoErr(err)
		return host
	}
	killed, other := start(), start()
	killed.Kill()
	_, port, err := net.SplitHostPort(killed.Proxy.Address())
	is.NoErr(err)
	taken, err := net.Listen("tcp", net.JoinHostPort(hostOf(other.Proxy.Address()), port))
	is.NoErr(err)
	defer taken.Close()
	_, err = net.Dial("tcp", killed.Proxy.Address())
	is.True(err != nil) // the port of the killed stand-in stays closed
	is.True(hostOf(killed.Direct) != hostOf(other.Direct))
}
