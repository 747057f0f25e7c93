package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against readers of cache events that are chosen while the routers are not known
// yet, and against a list that is never renewed while routers come and go.
func TestReadersAreChosenFromASettledList(t *testing.T) {
	is := is.New(t)
	var l routerList
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	l.set(at(0), []string{"a"})
	is.Equal(l.settled(at(time.Second)), nil)
	l.set(at(time.Second), []string{"a", "b"})
	is.Equal(l.settled(at(settleTime)), nil)
	l.set(at(2*time.Second), []string{"a", "b"}) // unchanged
	is.Equal(l.settled(at(time.Second+settleTime)), []string{"a", "b"})
	l.set(at(4*time.Second), []string{"a", "c"})
	is.Equal(l.settled(at(5*time.Second)), []string{"a", "b"})
	for s := 5; s < 20; s++ { // routers come and go
		l.set(at(time.Duration(s)*time.Second), []string{"a", time.Duration(s).String()})
	}
	is.Equal(len(l.settled(at(19*time.Second+500*time.Millisecond))), 2)
	is.Equal(l.settled(at(20 * time.Second))[1], time.Duration(19).String())
}
