package config

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"net"
	"reflect"
	"strconv"
)

const (
	dayMs         = 86_400_000
	yearS         = 31_536_000
	maxTokensRate = 10_000_000
	maxKeys       = 100
)

// intRule is the default and the range of a whole number.
type intRule struct {
	field         string
	value         *int
	def, min, max int
}

// DecodeTeam decodes and checks the value of a team.
func DecodeTeam(p Path, data []byte) (Team, error) {
	var t Team
	d, err := decodeTree(p, data, &t)
	if err != nil {
		return Team{}, err
	}
	if _, ok := teamKey(t); !ok && !d.hasProblem("public_key") {
		d.addProblem("public_key", describe(t.PublicKey), "32 bytes of an ed25519 public key in base64")
	}
	return t, d.err()
}

// DecodePool decodes and checks the value of a pool and fills in defaults.
func DecodePool(p Path, data []byte) (Pool, error) {
	var v Pool
	d, err := decodeTree(p, data, &v)
	if err != nil {
		return Pool{}, err
	}
	switch v.Kind {
	case PoolEngine:
		d.checkRequired("model", v.Model)
	case PoolService:
		for _, f := range [][2]string{{"model", v.Model}, {"weights_version", v.WeightsVersion}, {"adapter", v.Adapter}} {
			if f[1] != "" {
				d.addProblem(f[0], describe(f[1]), "no value, because the pool is a service")
			}
		}
	default:
		if !d.hasProblem("kind") {
			d.addProblem("kind", describe(string(v.Kind)), `"engine" or "service"`)
		}
	}
	d.checkTargets(v.Targets)
	d.checkInts([]intRule{
		{"slots", &v.Slots, 32, 1, 100_000},
		{"prefill_tokens_per_second", &v.PrefillTokensPerSecond, 20_000, 1, maxTokensRate},
		{"decode_ms_per_token", &v.DecodeMsPerToken, 25, 1, 60_000},
		{"cache_blocks", &v.CacheBlocks, 2000, 1, 1 << 30},
		{"block_bytes", &v.BlockBytes, 256, 4, 1 << 16},
		{"cold_start_s", &v.ColdStartS, 30, 0, 86_400},
	})
	return v, d.err()
}

// DecodeRoute decodes and checks the value of a route. The default of repeat and
// the checks against the pool need the pool and are applied by State.
func DecodeRoute(p Path, data []byte) (Route, error) {
	var v Route
	d, err := decodeTree(p, data, &v)
	if err != nil {
		return Route{}, err
	}
	d.checkRequired("pool", v.Pool)
	if v.Repeat != RepeatAny && v.Repeat != RepeatNever && d.present["repeat"] && !d.hasProblem("repeat") {
		d.addProblem("repeat", describe(string(v.Repeat)), `"any" or "never"`)
	}
	d.checkInts([]intRule{
		{"timeout_ms", &v.TimeoutMs, 60_000, 1, dayMs},
		{"stall_timeout_ms", &v.StallTimeoutMs, 2000, 1, dayMs},
		{"retry_budget_percent", &v.RetryBudgetPercent, 10, 0, 100},
		{"hedge_after_ms", &v.HedgeAfterMs, 0, 0, dayMs},
		{"priority", &v.Priority, 0, -1000, 1000},
		{"key_retention_s", &v.KeyRetentionS, 86_400, 1, yearS},
	})
	if !d.present["weights.cross_region_ms_per_mib"] {
		v.Weights.CrossRegionMsPerMiB = 5
	}
	d.checkNotNegative("weights.recompute", v.Weights.Recompute)
	d.checkNotNegative("weights.cross_region_ms_per_mib", v.Weights.CrossRegionMsPerMiB)
	return v, d.err()
}

// DecodeAccount decodes and checks the value of a client account and fills in
// defaults.
func DecodeAccount(p Path, data []byte) (Account, error) {
	var v Account
	d, err := decodeTree(p, data, &v)
	if err != nil {
		return Account{}, err
	}
	if n := len(v.KeySHA256); (n == 0 || n > maxKeys) && !d.hasProblem("key_sha256") {
		d.addProblem("key_sha256", strconv.Itoa(len(v.KeySHA256))+" hashes", "1 to "+strconv.Itoa(maxKeys))
	}
	d.checkUnique("key_sha256", v.KeySHA256)
	for i, key := range v.KeySHA256 {
		if raw, err := hex.DecodeString(key); err != nil || len(raw) != 32 || key != hex.EncodeToString(raw) {
			d.addProblem("key_sha256["+strconv.Itoa(i)+"]", describe(key), "64 lower-case hex digits")
		}
	}
	d.checkUnique("routes", v.Routes)
	d.checkNotNegative("limits.requests_per_second", v.Limits.RequestsPerSecond)
	d.checkNotNegative("limits.prompt_tokens_per_second", v.Limits.PromptTokensPerSecond)
	d.checkNotNegative("limits.output_tokens_per_second", v.Limits.OutputTokensPerSecond)
	d.checkInts([]intRule{
		{"limits.concurrency", &v.Limits.Concurrency, 0, 0, 1 << 30},
		{"share", &v.Share, 1, 1, 1000},
	})
	return v, d.err()
}

// decodeTree fills dst and checks types only. Type errors are collected in the
// decoder and reported together with those of the range checks, so dst may be
// partly filled.
func decodeTree(p Path, data []byte, dst any) (*decoder, error) {
	tree, err := parseTree(data, maxValueBytes)
	if err != nil {
		return nil, &InvalidError{Problems: []Problem{{Path: p.String(), Found: err.Error(), Expected: "a JSON object"}}}
	}
	d := &decoder{path: p.String(), present: map[string]bool{}}
	d.value("", tree, reflect.ValueOf(dst).Elem())
	return d, nil
}

// hasProblem reports whether the field already has a problem, so that a wrong
// type is not also reported as a value out of range.
func (d *decoder) hasProblem(field string) bool {
	for _, p := range d.problems {
		if p.Field == field || p.Field == "" {
			return true
		}
	}
	return false
}

func (d *decoder) checkRequired(field, text string) {
	switch {
	case d.hasProblem(field):
	case !d.present[field]:
		d.addProblem(field, "nothing", "a value")
	case text == "":
		d.addProblem(field, `""`, "a value")
	}
}

func (d *decoder) checkInts(rules []intRule) {
	for _, r := range rules {
		if !d.present[r.field] {
			*r.value = r.def
			continue
		}
		if (*r.value < r.min || *r.value > r.max) && !d.hasProblem(r.field) {
			d.addProblem(r.field, strconv.Itoa(*r.value), strconv.Itoa(r.min)+" to "+strconv.Itoa(r.max))
		}
	}
}

func (d *decoder) checkNotNegative(field string, v float64) {
	if v < 0 {
		d.addProblem(field, strconv.FormatFloat(v, 'g', -1, 64), "0 or more")
	}
}

func (d *decoder) checkUnique(field string, list []string) {
	seen := map[string]bool{}
	for i, text := range list {
		if seen[text] {
			d.addProblem(field+"["+strconv.Itoa(i)+"]", describe(text)+" twice", "each entry once")
		}
		seen[text] = true
	}
}

func (d *decoder) checkTargets(targets []PoolTarget) {
	if len(targets) == 0 && !d.hasProblem("targets") {
		d.addProblem("targets", "no target", "at least one")
	}
	var names, addresses []string
	for i, t := range targets {
		at := "targets[" + strconv.Itoa(i) + "]."
		if d.hasProblem("targets[" + strconv.Itoa(i) + "]") {
			continue
		}
		d.checkRequired(at+"name", t.Name)
		d.checkRequired(at+"address", t.Address)
		d.checkRequired(at+"region", t.Region)
		d.checkRequired(at+"availability_zone", t.AvailabilityZone)
		if t.Address != "" && !validAddress(t.Address) {
			d.addProblem(at+"address", describe(t.Address), "host:port")
		}
		names, addresses = append(names, t.Name), append(addresses, t.Address)
	}
	d.checkUnique("targets.name", names)
	d.checkUnique("targets.address", addresses)
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func teamKey(t Team) (ed25519.PublicKey, bool) {
	raw, err := base64.StdEncoding.DecodeString(t.PublicKey)
	return ed25519.PublicKey(raw), err == nil && len(raw) == ed25519.PublicKeySize
}
