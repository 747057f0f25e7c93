package retry

import "github.com/cespare/xxhash/v2"

const (
	// firstPrefixBytes is the length of the shortest prefix of a prompt that counts as a
	// segment. Each further one is longer by prefixGrowthPercent.
	firstPrefixBytes    = 256
	prefixGrowthPercent = 25
)

// PrefixSegments returns the segments of a prompt that is not divided into any: its
// prefixes of fixed lengths. Prompts share those up to the first difference.
func PrefixSegments(prompt string) []SegmentHash {
	var out []SegmentHash
	d := xxhash.New()
	at := 0
	for next := firstPrefixBytes; next <= len(prompt) && len(out) < maxRequestSegments; next += next * prefixGrowthPercent / 100 {
		_, _ = d.WriteString(prompt[at:next]) // it never fails
		out = append(out, SegmentHash(d.Sum64()))
		at = next
	}
	return out
}
