package placement

import "time"

// Settings holds the memory limits and decision parameters of a Policy. Zero
// fields default to the values of DefaultSettings.
type Settings struct {
	// Seed makes random choices reproducible. Every router uses a different seed.
	Seed uint64 `json:"seed"`
	// Region is the region of this router.
	Region string `json:"region"`
	// AvailabilityZone is the availability zone of this router.
	AvailabilityZone string `json:"availability_zone"`
	// MaxBlocks bounds the prompt blocks in the segment tree. Default 300000.
	MaxBlocks int `json:"max_blocks"`
	// MaxSegments bounds the prompt segments in the tree. Default 50000.
	MaxSegments int `json:"max_segments"`
	// MaxHolders bounds the targets recorded as holders of a segment. Default 8.
	MaxHolders int `json:"max_holders"`
	// MaxTargets bounds the targets with state. Default 20000.
	MaxTargets int `json:"max_targets"`
	// MaxPeerTargets bounds the in-flight counts stored per peer. Default 64.
	MaxPeerTargets int `json:"max_peer_targets"`
	// IdleSegmentS is the time without use after which a segment is removed, in s.
	// Default 300.
	IdleSegmentS int `json:"idle_segment_s"`
	// RateWindowS is the time constant of request rates in s. Default 60.
	RateWindowS int `json:"rate_window_s"`
	// CacheShare is the fraction of a target's cache that the subtree of one home
	// prefix may fill before it is split. Default 0.002.
	CacheShare float64 `json:"cache_share"`
	// MaxReplication bounds the length of the prefix that a split replicates to
	// the home of every child, as a multiple of the average subtree of a child.
	// Default 0.5.
	MaxReplication float64 `json:"max_replication"`
	// LoadShare is the fraction of a target's time that one home prefix may take
	// before it is spread over more targets. Default 0.5.
	LoadShare float64 `json:"load_share"`
	// MissWeight is the cost of prefilling outside the home targets, in ms per ms
	// of prefill. Default 1.
	MissWeight float64 `json:"miss_weight"`
	// InterRegionMs is the one-way latency between regions in ms. Default 12.
	InterRegionMs float64 `json:"inter_region_ms"`
	// InterZoneMs is the one-way latency between availability zones of a region in
	// ms. Default 1.
	InterZoneMs float64 `json:"inter_zone_ms"`
	// IdleSample is the number of randomly sampled targets. The two cheapest of
	// them become candidates. Default 4.
	IdleSample int `json:"idle_sample"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MaxBlocks: 300000, MaxSegments: 50000, MaxHolders: 8, MaxTargets: 20000, MaxPeerTargets: 64,
		IdleSegmentS: 300, RateWindowS: 60, CacheShare: 0.002, MaxReplication: 0.5, LoadShare: 0.5, MissWeight: 1,
		InterRegionMs: 12, InterZoneMs: 1, IdleSample: 4,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	defaultTo(&s.MaxBlocks, d.MaxBlocks)
	defaultTo(&s.MaxSegments, d.MaxSegments)
	defaultTo(&s.MaxHolders, d.MaxHolders)
	defaultTo(&s.MaxTargets, d.MaxTargets)
	defaultTo(&s.MaxPeerTargets, d.MaxPeerTargets)
	defaultTo(&s.IdleSegmentS, d.IdleSegmentS)
	defaultTo(&s.RateWindowS, d.RateWindowS)
	defaultTo(&s.CacheShare, d.CacheShare)
	defaultTo(&s.MaxReplication, d.MaxReplication)
	defaultTo(&s.LoadShare, d.LoadShare)
	defaultTo(&s.MissWeight, d.MissWeight)
	defaultTo(&s.InterRegionMs, d.InterRegionMs)
	defaultTo(&s.InterZoneMs, d.InterZoneMs)
	defaultTo(&s.IdleSample, d.IdleSample)
	return s
}

func defaultTo[T int | float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

func (s Settings) rateWindow() time.Duration { return time.Duration(s.RateWindowS) * time.Second }

func (s Settings) idleSegment() time.Duration { return time.Duration(s.IdleSegmentS) * time.Second }
