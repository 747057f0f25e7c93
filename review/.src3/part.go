package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	partEngines = 9
	partRouters = 3
	// Sound requests come a few together all the time, those with the part that crashes runners
	// from partBegins on: quickly at first, then now and then.
	soundEvery    = 6 * time.Second
	soundTogether = 4
	partBegins    = 36 * time.Second
	partAfter     = 500 * time.Millisecond
	partEnds      = 84 * time.Second
	burstEvery    = 300 * time.Millisecond
	burstFor      = 5 * time.Second
	laterEvery    = 2 * time.Second
	partDown      = 3 * time.Second
	// stabilityWindow is StabilityWindowMs, judged the number of sound requests from which on the
	// rule applies.
	stabilityWindow = 4 * time.Second
	judged          = 20
)

// playPart compares how often sound requests begin before a part of a prompt crashes runners with
// how often they begin from 2 x StabilityWindowMs after the fifth crash on.
func playPart(l *lab) (bool, error) {
	var mu sync.Mutex
	began := map[string]bool{}
	var crashes []time.Time
	begun := func(request string) {
		mu.Lock()
		defer mu.Unlock()
		began[request] = true
	}
	crashed := func(string) {
		mu.Lock()
		defer mu.Unlock()
		crashes = append(crashes, time.Now())
	}
	l.log.PutKeyed("keyed.op", "config", []byte(`{"Version":1,"Routes":[{"Name":"check","Host":"h","PathPrefix":"/check/","Kind":"streaming","TimeoutMs":6000,"TargetLatencyMs":800,"GapAimMs":400,"Service":"llm","MaxAttempts":2,"Resumable":true,"StickySessions":true,"Priority":1}],
		"Services":[{"Name":"llm","Engine":{"Slots":64,"KvCapacity":99532,"KvTokenBytes":327680,"LinkMbps":260000,"MaxInFlight":4}}],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":20000},"Tenants":[{"Name":"t1","ApiKeys":["k1"]}]}`))
	for i := range partEngines {
		if _, err := l.startEngine(fmt.Sprintf("lm%d", i+1), "bad0", partDown, begun, crashed); err != nil {
			return false, err
		}
	}
	var routers []*router
	for i := range partRouters {
		r, err := l.startRouter(fmt.Sprintf("front-%d", i+1))
		if err != nil {
			return false, err
		}
		routers = append(routers, r)
	}
	time.Sleep(6 * time.Second) // the routers find each other
	start := time.Now()
	type sent struct {
		id string
		at time.Time
	}
	var sound []sent
	var open sync.WaitGroup
	ask := func(id, prompt string) {
		r := routers[rand.IntN(len(routers))]
		status, _, body, err := send(r.front, fmt.Sprintf("POST /check/%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Key: k1\r\nX-Deadline-Ms: 6000\r\nX-Model: m\r\nX-Token-Usage: 3000,13\r\nX-Prompt-Prefix: %s\r\nContent-Length: %d\r\n\r\n%s",
			id, id, prompt, len(id), id), 8*time.Second)
		if len(body) > 24 {
			body = body[:24] + "..."
		}
		l.note("%s answered %d %q %v", id, status, body, err)
	}
	nextSound := start
	nextBad := start.Add(partBegins + partAfter)
	firstBad := nextBad
	for n := 0; time.Since(start) < partEnds; time.Sleep(5 * time.Millisecond) {
		if now := time.Now(); !now.Before(nextSound) {
			nextSound = nextSound.Add(soundEvery)
			for range soundTogether {
				n++
				id := fmt.Sprintf("sound-%d", n)
				sound = append(sound, sent{id, now})
				prompt := fmt.Sprintf("a1:300,d0c1:2500,%x:200", 0x1000+n)
				open.Go(func() { ask(id, prompt) })
			}
		}
		if now := time.Now(); l.trouble && !now.Before(nextBad) {
			pace := laterEvery
			if now.Sub(firstBad) < burstFor {
				pace = burstEvery
			}
			nextBad = nextBad.Add(pace)
			n++
			id := fmt.Sprintf("bad-%d", n)
			prompt := fmt.Sprintf("bad0:300,d0c1:2500,%x:200", 0x1000+n)
			open.Go(func() { ask(id, prompt) })
		}
	}
	open.Wait()
	mu.Lock()
	defer mu.Unlock()
	var from time.Time
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1].Add(2 * stabilityWindow)
	} else {
		from = start.Add(partBegins)
	}
	var before, beganBefore, after, beganAfter int
	for _, s := range sound {
		switch {
		case s.at.Before(start.Add(partBegins - stabilityWindow)):
			before++
			if began[s.id] {
				beganBefore++
			}
		case s.at.After(from):
			after++
			if began[s.id] {
				beganAfter++
			}
		}
	}
	l.note("crashes: %d; sound requests that began: %d of %d before, %d of %d from 2 x StabilityWindowMs after the fifth crash on", len(crashes), beganBefore, before, beganAfter, after)
	if before < judged || after < judged {
		return false, fmt.Errorf("too few sound requests")
	}
	return float64(beganAfter)/float64(after) < 0.5*float64(beganBefore)/float64(before), nil
}
