package placement

// Transfer describes the transfer of a prefix between two targets through the KV
// store.
type Transfer struct {
	Tokens                 int
	BytesPerToken          float64
	ExportBytesPerSecond   float64
	ImportBytesPerSecond   float64
	RoundTripMs            float64
	PrefillTokensPerSecond float64
	// QueueMs is the wait for queued prefill work, which only a recomputation has.
	QueueMs float64
	// Uses is the expected number of requests that use the prefix on the new
	// target before it is evicted.
	Uses float64
	// CrossRegion is set if the bytes leave the region; CrossRegionMsPerMiB is
	// their cost per MiB.
	CrossRegion         bool
	CrossRegionMsPerMiB float64
	// Stored is set if the prefix is already in the KV store.
	Stored bool
}

// TransferBeatsRecompute reports whether importing the prefix costs less than
// recomputing it. It compares the round trips, the transfer (export and import
// unless the prefix is already stored) and the cost of cross-region bytes with the
// prefill and its queue.
func TransferBeatsRecompute(t Transfer) bool {
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
