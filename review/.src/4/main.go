// Program 4 shows that a router uses an entry of another writer in which fields are missing.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"mimosaseam.example/review/standin"
)

const (
	key        = "ctnfzs989anu6wsjnban"
	orders     = "gowu98c"
	lookups    = "kafi81c"
	orderPath  = "/fiti832/"
	lookupPath = "/filo73/"
	clients    = 8
	requestGap = 200 * time.Millisecond
	entries    = 6
	entryGap   = 2600 * time.Millisecond
)

type object = map[string]any

func manifest() []byte {
	route := func(name, prefix, kind, service string) object {
		return object{"Name": name, "Host": standin.Host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 2000, "TargetLatencyMs": 200,
			"Priority": 1, "Service": service, "MaxAttempts": 1, "AllowAnonymous": false, "StickySessions": false, "Resumable": false}
	}
	service := func(name string) object {
		return object{"Name": name, "HealthPath": "/health", "MaxConnections": 96, "Protocol": "h1", "Tls": false}
	}
	text, err := json.Marshal(object{"Version": 1,
		"Routes": []object{route("r-6sz9frg", orderPath, "non_idempotent", orders), route("r-27eya6u", lookupPath, "idempotent", lookups)}, "Services": []object{service(orders), service(lookups)},
		"Limits":  object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []object{{"Name": "sese880", "ApiKeys": []string{key}, "Priority": 1, "Isolated": false}}})
	if err != nil {
		panic(err)
	}
	return text
}

func main() { standin.Main(play) }

func play(record *standin.Record) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	store, err := standin.NewStore()
	if err != nil {
		return 0, err
	}
	var runners []*standin.Runner
	for _, service := range []string{orders, lookups} {
		for range 2 {
			r, err := standin.NewRunner(store, record, service, "fi-south-a")
			if err != nil {
				return 0, err
			}
			runners = append(runners, r)
		}
	}
	store.Put("keyed.op", "config", manifest())
	router, err := standin.StartRouter("front-fi-south-a-1", "fi-south-a", store.Address)
	if err != nil {
		return 0, err
	}
	defer router.Stop()
	if !router.AwaitReady(ctx) {
		return 0, fmt.Errorf("the router is not ready")
	}
	ended := make(chan struct{})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			client := standin.NewClient(router.Front)
			ticker := time.NewTicker(requestGap)
			defer ticker.Stop()
			for n := i; ; n++ {
				select {
				case <-ended:
					return
				case <-ticker.C:
				}
				method, path := "GET", lookupPath+"de11/2f"
				if n%2 == 0 {
					method, path = "POST", orderPath+"ti23/2f"
				}
				client.Send(record, method, path, map[string]string{"X-Key": key, "X-Deadline-Ms": "2000"}, "")
			}
		})
	}
	time.Sleep(2 * time.Second)
	for range entries {
		if standin.Trouble() {
			r := runners[len(runners)-1]
			entry, _ := json.Marshal(r.PartialEntry(orders))
			store.Put("keyed.servers", r.ID, entry)
			record.Add("another writer writes %s under the id %s of a runner of %s", entry, r.ID, r.Service)
		}
		time.Sleep(entryGap)
	}
	close(ended)
	running.Wait()
	ran, foreign := 0, 0
	for _, r := range runners {
		for _, run := range r.Runs() {
			ran++
			if strings.HasPrefix(run.URI, lookupPath) != (r.Service == lookups) {
				foreign++
				record.Add("request %s for %s has run at %s of service %s", run.ID, run.URI, r.ID, r.Service)
			}
		}
	}
	record.Say("%d requests have run, %d of them at a runner of a service that no manifest names for them", ran, foreign)
	switch {
	case ran < 100:
		return 0, fmt.Errorf("too few requests have run: %d", ran)
	case foreign > 0:
		return standin.Broken, nil
	}
	return standin.Held, nil
}
