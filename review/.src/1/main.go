// Program 1 shows that a router accepts a revoked key after it was cut off.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"mimosaseam.example/review/standin"
)

const (
	service    = "gowu98c"
	growth     = 350 // routes that one growth of the manifest adds
	growths    = 3
	versionGap = 330 * time.Millisecond
	versions   = 12
	cutTime    = 12 * time.Second
	// clients send 70 requests a second together, less than the traffic of the site, each on a
	// channel that it keeps.
	clients     = 10
	requestGap  = 140 * time.Millisecond
	revokeBound = standin.RevokeMs * time.Millisecond
	keyRevoked  = "ctnfzs989anu6wsjnban"
	keyKept     = "fqasnmgkcuyj8pjbvk9m"
)

type object = map[string]any

// manifest returns a version of the manifest; revoked leaves out the key that is taken away.
func manifest(version, grown int, revoked bool) []byte {
	route := func(name, prefix string) object {
		return object{"Name": name, "Host": standin.Host, "PathPrefix": prefix, "Kind": "idempotent", "TimeoutMs": 2000, "TargetLatencyMs": 200,
			"Priority": 1, "Service": service, "MaxAttempts": 2, "AllowAnonymous": false, "StickySessions": false, "Resumable": false}
	}
	routes := []object{route("r-27eya6u", "/filo73/")}
	for i := range grown {
		routes = append(routes, route(fmt.Sprintf("r-grown%05d", i), fmt.Sprintf("/grown%05d/", i)))
	}
	keys := []string{keyRevoked}
	if revoked {
		keys = []string{}
	}
	text, err := json.Marshal(object{"Version": version, "Routes": routes,
		"Services": []object{{"Name": service, "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []object{{"Name": "sese880", "ApiKeys": keys, "Priority": 1, "Isolated": false},
			{"Name": "lehu480", "ApiKeys": []string{keyKept}, "Priority": 1, "Isolated": false}}})
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
	link, err := standin.NewProxy(store.Address)
	if err != nil {
		return 0, err
	}
	runner, err := standin.NewRunner(store, record, service, "fi-south-a")
	if err != nil {
		return 0, err
	}
	version, grown := 1, 0
	put := func(what string, revoked bool) time.Time {
		text := manifest(version, grown, revoked)
		at := store.Put("keyed.op", "config", text)
		record.Add("the store confirms version %d of the manifest, %s, %d bytes", version, what, len(text))
		version += 2
		return at
	}
	put("the first", false)
	router, err := standin.StartRouter("front-fi-south-a-1", "fi-south-a", link.Address)
	if err != nil {
		return 0, err
	}
	defer router.Stop()
	if !router.AwaitReady(ctx) {
		return 0, fmt.Errorf("the router is not ready")
	}
	for range growths {
		grown += growth
		put("it grows by many routes", false)
		time.Sleep(time.Second)
	}

	ended := make(chan struct{})
	var running sync.WaitGroup
	var mu sync.Mutex
	var answers []standin.Answer
	for range clients {
		running.Go(func() {
			client := standin.NewClient(router.Front)
			ticker := time.NewTicker(requestGap)
			defer ticker.Stop()
			for {
				select {
				case <-ended:
					return
				case <-ticker.C:
				}
				a := client.Send(record, "GET", "/filo73/de11/2f", map[string]string{"X-Key": keyRevoked, "X-Deadline-Ms": "2000"}, "")
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
		time.Sleep(requestGap / clients)
	}
	time.Sleep(2 * time.Second)
	if standin.Trouble() {
		link.SetCut(true)
		record.Add("the router is cut off from the store")
	}
	cut := time.Now()
	for range versions {
		put("in quick succession", false)
		time.Sleep(versionGap)
	}
	revokedAt := put("the key is taken away", true)
	time.Sleep(time.Until(cut.Add(cutTime)))
	link.SetCut(false)
	record.Add("the cut has healed")
	time.Sleep(4 * time.Second)
	close(ended)
	running.Wait()

	sent := map[string]time.Time{}
	served := 0
	for _, a := range answers {
		sent[a.ID] = a.Sent
		if a.Status == 200 && a.Sent.Before(revokedAt) {
			served++
		}
	}
	late := 0
	for _, run := range runner.Runs() {
		if at, known := sent[run.ID]; known && at.After(revokedAt.Add(revokeBound)) {
			late++
			record.Add("request %s, sent %d ms after the confirmation, has run", run.ID, at.Sub(revokedAt).Milliseconds())
		}
	}
	record.Say("%d requests served before the key was taken away, %d run that were sent more than %d ms after", served, late, standin.RevokeMs)
	switch {
	case served < 50:
		return 0, fmt.Errorf("too few requests were served before: %d", served)
	case late > 0:
		return standin.Broken, nil
	}
	return standin.Held, nil
}
