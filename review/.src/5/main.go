// Program 5 shows that a router serves any key once the last tenant was taken out of the
// manifest.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"mimosaseam.example/review/standin"
)

const (
	service     = "gowu98c"
	key         = "ctnfzs989anu6wsjnban"
	neverHeld   = "zzzzzzzzzzzzzzzzzzzz"
	revokeBound = standin.RevokeMs * time.Millisecond
	requests    = 20
)

type object = map[string]any

func manifest(version int, tenants []object) []byte {
	text, err := json.Marshal(object{"Version": version,
		"Routes": []object{{"Name": "r-6sz9frg", "Host": standin.Host, "PathPrefix": "/fiti832/", "Kind": "non_idempotent", "TimeoutMs": 2000, "TargetLatencyMs": 200,
			"Priority": 1, "Service": service, "MaxAttempts": 1, "AllowAnonymous": false, "StickySessions": false, "Resumable": false}},
		"Services": []object{{"Name": service, "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  tenants})
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
	runner, err := standin.NewRunner(store, record, service, "fi-south-a")
	if err != nil {
		return 0, err
	}
	store.Put("keyed.op", "config", manifest(1, []object{{"Name": "sese880", "ApiKeys": []string{key}, "Priority": 1, "Isolated": false}}))
	record.Add("the store confirms version 1 of the manifest")
	router, err := standin.StartRouter("front-fi-south-a-1", "fi-south-a", store.Address)
	if err != nil {
		return 0, err
	}
	defer router.Stop()
	if !router.AwaitReady(ctx) {
		return 0, fmt.Errorf("the router is not ready")
	}
	client := standin.NewClient(router.Front)
	sent := map[string]string{}
	ask := func(key string) (served int) {
		for range requests {
			a := client.Send(record, "POST", "/fiti832/ti23/2f", map[string]string{"X-Key": key, "X-Deadline-Ms": "2000"}, "book")
			sent[a.ID] = key
			if a.Status == 200 {
				served++
			}
		}
		return served
	}
	if served := ask(key); served != requests {
		return 0, fmt.Errorf("only %d requests were served before", served)
	}
	ask(neverHeld)
	if standin.Trouble() {
		store.Put("keyed.op", "config", manifest(3, []object{}))
		record.Add("the store confirms version 3 of the manifest: the last tenant is taken away")
	}
	time.Sleep(revokeBound + time.Second)
	from := time.Now()
	revoked := 0
	if standin.Trouble() {
		ask(key)
	}
	ask(neverHeld)
	foreign := 0
	for _, run := range runner.Runs() {
		switch {
		case sent[run.ID] == neverHeld:
			foreign++
		case run.At.After(from):
			revoked++
		}
	}
	record.Say("%d requests with a key that no manifest ever held have run", foreign)
	record.Say("%d requests with the revoked key, sent more than %d ms after the confirmation, have run", revoked, standin.RevokeMs)
	if foreign+revoked > 0 {
		return standin.Broken, nil
	}
	return standin.Held, nil
}
