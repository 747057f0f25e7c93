// Program 2 shows that a tenant that becomes isolated goes on sharing the parts that it made
// before.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"mimosaseam.example/review/standin"
)

const (
	service  = "dele69a"
	model    = "daka510000"
	settle   = 2 * standin.ConfigApplyMs * time.Millisecond
	requests = 5
)

// tenants of the manifest. The first one is isolated by its second version, the last one from
// the beginning.
var tenants = map[string]string{"sese880": "ctnfzs989anu6wsjnban", "lehu480": "fqasnmgkcuyj8pjbvk9m", "noba922": "kk3jd9dkfhwu2hdk4kdj"}

type object = map[string]any

func manifest(version int, isolated bool) []byte {
	text, err := json.Marshal(object{"Version": version,
		"Routes": []object{{"Name": "r-27eya6u", "Host": standin.Host, "PathPrefix": "/lepu270/", "Kind": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 600,
			"Priority": 1, "Service": service, "MaxAttempts": 2, "AllowAnonymous": false, "StickySessions": true, "Resumable": true, "GapAimMs": 400}},
		"Services": []object{{"Name": service, "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
			"Engine": object{"Slots": 64, "KvCapacity": 99532, "KvTokenBytes": 327680, "LinkMbps": 260000.0, "Moves": true, "Backups": true, "Stride": 4,
				"MaxInFlight": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": []object{{"Name": model}}}}},
		"Limits": object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []object{{"Name": "sese880", "ApiKeys": []string{tenants["sese880"]}, "Priority": 1, "Isolated": isolated},
			{"Name": "lehu480", "ApiKeys": []string{tenants["lehu480"]}, "Priority": 1, "Isolated": false},
			{"Name": "noba922", "ApiKeys": []string{tenants["noba922"]}, "Priority": 1, "Isolated": true}}})
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
	engine, err := standin.NewEngine(store, record, service, "fi-south-a", model)
	if err != nil {
		return 0, err
	}
	store.Put("keyed.op", "config", manifest(1, false))
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
	sent := map[string]string{} // request to tenant
	ask := func(tenant, dossier string) error {
		for i := range requests {
			a := client.Send(record, "POST", "/lepu270/2f", map[string]string{"X-Key": tenants[tenant], "X-Deadline-Ms": "6000",
				"X-Model": model, "X-Token-Usage": "1460,13", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%s:410,%s%d:250", dossier, standin.RandomID(), i)}, "ask")
			if a.Status != 200 {
				return fmt.Errorf("a request of %s was answered %d, %v", tenant, a.Status, a.Err)
			}
			sent[a.ID] = tenant
		}
		return nil
	}
	// The tenant of its own from the beginning uses another dossier.
	if err := ask("noba922", "0ae5f2c1"); err != nil {
		return 0, err
	}
	if err := ask("sese880", "91bd3f06"); err != nil {
		return 0, err
	}
	isolated := map[string]bool{"noba922": true}
	if standin.Trouble() {
		store.Put("keyed.op", "config", manifest(3, true))
		record.Add("the store confirms version 3 of the manifest: sese880 is isolated")
		isolated["sese880"] = true
	}
	time.Sleep(settle)
	from := time.Now()
	for _, dossier := range []string{"91bd3f06", "0ae5f2c1"} {
		if err := ask("lehu480", dossier); err != nil {
			return 0, err
		}
	}
	broken := 0
	for _, u := range engine.Uses() {
		if u.At.Before(from) || u.Account == u.Part.Account || !isolated[u.Account] && !isolated[u.Part.Account] {
			continue
		}
		broken++
		record.Say("request %s of %s used part %s, which request %s of %s had made", u.Request, u.Account, u.Part.ID, u.Part.MadeBy, u.Part.Account)
	}
	record.Say("%d uses of a part of another tenant where one of the two is isolated", broken)
	if broken > 0 {
		return standin.Broken, nil
	}
	return standin.Held, nil
}
