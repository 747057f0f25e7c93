// Program 3 shows that a router does not notice that an engine has older weights than before,
// and lets another one fetch what it made under them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mimosaseam.example/review/standin"
)

const (
	service = "dele69a"
	model   = "daka510000"
	key     = "ctnfzs989anu6wsjnban"
	// late is how much later the engine carries out the order that it left unanswered, and
	// down how long its crash takes.
	late       = 3200 * time.Millisecond
	down       = 400 * time.Millisecond
	clients    = 15
	requestGap = 300 * time.Millisecond
	// dossiers is the number of dossiers that are asked for at a time. Each second brings a
	// new set of them.
	dossiers = 6
	// maxAge is how long a dossier is asked for, in seconds.
	maxAge  = 10
	pollGap = 10 * time.Millisecond
	// warmUp is the time in which the routers get to know each other.
	warmUp = 6 * time.Second
)

// engineZones and routerZones are the zones of the engines and of the routers.
var (
	engineZones = []string{"fi-south-a", "fi-south-a", "fi-west-a", "fi-west-a"}
	routerZones = []string{"fi-south-a", "fi-south-a", "fi-west-a"}
)

type object = map[string]any

func manifest() []byte {
	text, err := json.Marshal(object{"Version": 1,
		"Routes": []object{{"Name": "r-27eya6u", "Host": standin.Host, "PathPrefix": "/lepu270/", "Kind": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 600,
			"Priority": 1, "Service": service, "MaxAttempts": 2, "AllowAnonymous": false, "StickySessions": true, "Resumable": true, "GapAimMs": 400}},
		"Services": []object{{"Name": service, "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
			"Engine": object{"Slots": 64, "KvCapacity": 99532, "KvTokenBytes": 327680, "LinkMbps": 260000.0, "Moves": true, "Backups": true, "Stride": 4,
				"MaxInFlight": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": []object{{"Name": model}}}}},
		"Limits":  object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []object{{"Name": "sese880", "ApiKeys": []string{key}, "Priority": 1, "Isolated": false}}})
	if err != nil {
		panic(err)
	}
	return text
}

func main() { standin.Main(play) }

func play(record *standin.Record) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	store, err := standin.NewStore()
	if err != nil {
		return 0, err
	}
	var engines []*standin.Engine
	for _, zone := range engineZones {
		e, err := standin.NewEngine(store, record, service, zone, model)
		if err != nil {
			return 0, err
		}
		engines = append(engines, e)
	}
	x := engines[0]
	trouble := standin.Trouble()
	var once sync.Once
	x.LateOrder = func(int) (wait time.Duration, unanswered bool) {
		if trouble {
			once.Do(func() { unanswered = true })
		}
		return late, unanswered
	}
	store.Put("keyed.op", "config", manifest())
	var routers []*standin.Router
	for i, zone := range routerZones {
		router, err := standin.StartRouter(fmt.Sprintf("front-%s-%d", zone, i), zone, store.Address)
		if err != nil {
			return 0, err
		}
		defer router.Stop()
		routers = append(routers, router)
	}
	for _, router := range routers {
		if !router.AwaitReady(ctx) {
			return 0, fmt.Errorf("a router is not ready")
		}
	}
	time.Sleep(warmUp)
	begun := time.Now()
	ended := make(chan struct{})
	var running sync.WaitGroup
	served := make([]int, clients)
	for i := range clients {
		running.Go(func() {
			client := standin.NewClient(routers[i%len(routers)].Front)
			ticker := time.NewTicker(requestGap)
			defer ticker.Stop()
			for n := i; ; n++ {
				select {
				case <-ended:
					return
				case <-ticker.C:
				}
				// Two thirds of the requests ask for dossiers that were first asked for some seconds ago.
				second := int(time.Since(begun).Seconds())
				if n%3 > 0 {
					second = max(0, second-rand.IntN(maxAge))
				}
				dossier := fmt.Sprintf("d%04x%04x", second, n%dossiers)
				a := client.Send(record, "POST", "/lepu270/2f", map[string]string{"X-Key": key, "X-Deadline-Ms": "6000", "X-Model": model,
					"X-Token-Usage": "9190,13", "X-Prompt-Prefix": fmt.Sprintf("%s:6300,%s:2890", dossier, standin.RandomID())}, "ask "+standin.RandomID())
				if a.Status == 200 {
					served[i]++
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	name := func(version int) {
		text, _ := json.Marshal(object{"Model": model, "Version": version})
		store.Put("keyed.op", "version/"+model, text)
		record.Add("the store confirms that weights %d are named", version)
	}
	for _, version := range []int{2, 3} {
		name(version)
		for x.Version() != version {
			if ctx.Err() != nil {
				return 0, fmt.Errorf("the engine has not got weights %d", version)
			}
			time.Sleep(pollGap)
		}
	}
	time.Sleep(10 * pollGap)
	if trouble {
		x.Crash(down)
	}
	time.Sleep(18 * time.Second)
	close(ended)
	running.Wait()

	stale, total := 0, 0
	for _, e := range engines {
		for _, u := range e.Uses() {
			if u.Version != u.Part.Version {
				stale++
				record.Add("request %s ran at %s under weights %d on part %s that %s made under weights %d", u.Request, e.ID, u.Version, u.Part.ID, u.Part.MadeAt, u.Part.Version)
			}
		}
		record.Say("%s has weights %d", e.ID, e.Version())
	}
	for _, n := range served {
		total += n
	}
	record.Say("%d requests served, %d times a request ran on a part made under other weights", total, stale)
	switch {
	case total < 100:
		return 0, fmt.Errorf("too few requests were served: %d", total)
	case stale > 0:
		return standin.Broken, nil
	}
	return standin.Held, nil
}
