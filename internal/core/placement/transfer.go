package placement

// Transfer describes a prefix that could be moved between two targets through
// the KV store instead of being computed again.
type Transfer struct {
	Tokens                 int
	BytesPerToken          float64
	ExportBytesPerSecond   float64
	ImportBytesPerSecond   float64
	RoundTripMs            float64
	PrefillTokensPerSecond float64
	// QueueMs is the prefill work ahead of a recomputation; an import passes it.
	QueueMs float64
	// Uses is the number of requests that will find the prefix on the new
	// target before it is evicted.
	Uses float64
	// CrossRegion says that the bytes leave the region; CrossRegionMsPerMiB is
	// what a MiB of them costs.
	CrossRegion         bool
	CrossRegionMsPerMiB float64
	// Stored says that the prefix is in the KV store already.
	Stored bool
}

// MoveBeatsRecompute says whether importing the prefix costs less than
// computing it again: the round trips, the transfer (twice unless the prefix is
// stored already) and the billed bytes against the prefill and the wait for it.
func MoveBeatsRecompute(t Transfer) bool {
	if t.Tokens <= 0 || t.Uses < 1 || t.ImportBytesPerSecond <= 0 || t.PrefillTokensPerSecond <= 0 {
		return false
	}
	bytes := float64(t.Tokens) * t.BytesPerToken
	move := 2*t.RoundTripMs + bytes/t.ImportBytesPerSecond*1000
	if !t.Stored {
		if t.ExportBytesPerSecond <= 0 {
			return false
		}
		move += 2*t.RoundTripMs + bytes/t.ExportBytesPerSecond*1000
	}
	if t.CrossRegion {
		move += t.CrossRegionMsPerMiB * bytes / bytesPerMiB
	}
	return move < float64(t.Tokens)/t.PrefillTokensPerSecond*1000+t.QueueMs
}
