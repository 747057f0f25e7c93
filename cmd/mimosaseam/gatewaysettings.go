package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mimosaseam.example/mimosaseam/internal/app/gateway"
	"mimosaseam.example/mimosaseam/internal/settings"
)

func gatewaySettings(s settings.Gateway) gateway.Settings {
	g := gateway.Settings{AvailabilityZone: s.VM.AvailabilityZone, Regions: s.Regions,
		ConfigurationBound: settings.Milliseconds(s.Bounds.ConfigurationMs),
		WeightsBound:       settings.Milliseconds(s.Bounds.WeightsMs),
		RetryRatio:         s.Bounds.RetryRatio, RetryAllowance: s.Bounds.RetryAllowance,
		RetryWindow: settings.Seconds(s.Bounds.RetryWindowS), AllotmentSlack: s.Bounds.AllotmentOverSlack}
	if s.Bounds.KeyRevokedStrict {
		g.KeyRevocationBound = settings.Milliseconds(s.Bounds.KeyRevokedMs) - clockRateMargin
	}
	return g
}

func (n *gatewayNode) setLevel(level string) {
	var l slog.Level
	if l.UnmarshalText([]byte(level)) == nil {
		n.level.Set(l)
	}
}

// watchSettings reloads the settings file after SIGHUP and whenever it changes.
func (n *gatewayNode) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := os.Stat(n.file)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hup:
			signalled = true
		case <-ticker.C:
		}
		info, err := os.Stat(n.file)
		if err != nil {
			n.log.Warn("settings not found", "error", err.Error())
			continue
		}
		if !signalled && last != nil && info.ModTime().Equal(last.ModTime()) && info.Size() == last.Size() {
			continue
		}
		last = info
		n.reload()
	}
}

// reload applies the settings that may change at run time; addresses need a restart.
func (n *gatewayNode) reload() {
	s, err := settings.LoadGateway(n.file)
	if err != nil {
		n.log.Error("settings not reloaded", "error", err.Error())
		return
	}
	n.setLevel(s.LogLevel)
	n.gateway.SetSettings(gatewaySettings(s))
	n.log.Info("settings reloaded", "bounds", s.Bounds)
}
