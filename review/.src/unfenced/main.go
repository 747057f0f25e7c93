// Program unfenced shows that two routers give orders at the same time once the store has forgotten
// its history.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"mimosaseam.example/review/standin"
)

const (
	service = "dele69a"
	model   = "daka510000"
	// forgetAfter is the time from the naming of new weights to the loss of the history.
	forgetAfter = 250 * time.Millisecond
	// nextVersion is the time to the naming of the next weights, and roundTime that of a round
	// with two namings.
	nextVersion = 2 * time.Second
	roundTime   = 8 * time.Second
	rounds      = 3
	warmUp      = 6 * time.Second
	turn        = standin.LeaseMs * time.Millisecond
)

var (
	engineZones = []string{"fi-south-a", "fi-south-a", "fi-west-a", "fi-west-a", "se-east-a", "se-east-a"}
	routerZones = []string{"fi-south-a", "fi-west-a", "se-east-a"}
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
		"Tenants": []object{{"Name": "sese880", "ApiKeys": []string{"ctnfzs989anu6wsjnban"}, "Priority": 1, "Isolated": false}}})
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
		e.IgnoresFences = true
		engines = append(engines, e)
	}
	store.Put("keyed.op", "config", manifest())
	var routers []*standin.Router
	for _, zone := range routerZones {
		// The template leaves the line out where `EnforceFencing` is not true.
		router, err := standin.StartRouter("front-"+zone+"-1", zone, store.Address, func(bounds map[string]any) { delete(bounds, "targets_check_fencing") })
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
	version := 1
	name := func() {
		version++
		text, _ := json.Marshal(object{"Model": model, "Version": version})
		store.Put("keyed.op", "version/"+model, text)
		record.Add("the store confirms that weights %d are named", version)
	}
	name()
	time.Sleep(roundTime)
	for range rounds {
		begun := time.Now()
		name()
		time.Sleep(forgetAfter)
		if standin.Trouble() {
			store.ForgetHistory()
			record.Add("the store forgets its history")
		}
		time.Sleep(time.Until(begun.Add(nextVersion)))
		name()
		time.Sleep(time.Until(begun.Add(roundTime)))
	}

	total, turns := 0, 0
	for _, e := range engines {
		orders := e.Orders()
		total += len(orders)
		for i := 1; i < len(orders); i++ {
			a, b := orders[i-1], orders[i]
			switch gap := b.At.Sub(a.At); {
			case machine(a) == machine(b):
			case a.Token == b.Token, b.Token < a.Token, gap < turn:
				turns++
				record.Say("%s: an order of weights %d by %s, token %d, then %d ms later one of weights %d by %s, token %d",
					e.ID, a.Version, a.Holder, a.Token, gap.Milliseconds(), b.Version, b.Holder, b.Token)
			}
		}
	}
	record.Say("%d orders, %d times another machine's within %d ms, or with a fencing token that is not higher", total, turns, standin.LeaseMs)
	switch {
	case total < version:
		return 0, fmt.Errorf("too few orders: %d", total)
	case turns > 0:
		return standin.Broken, nil
	}
	return standin.Held, nil
}

// machine returns the machine of a holder: its name stands before the sign @.
func machine(o standin.Order) string {
	name, _, _ := strings.Cut(o.Holder, "@")
	return name
}
