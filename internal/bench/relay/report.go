package relay

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Targets holds the performance targets printed beside the measurements.
type Targets struct {
	AddedTTFTp99   time.Duration `json:"added_ttft_p99_ns"`
	AtStreams      int           `json:"added_ttft_p99_at_streams"`
	TokensPerCore  float64       `json:"tokens_per_second_per_core"`
	BytesPerStream int64         `json:"bytes_per_stream"`
}

// DesignTargets returns the performance targets of docs/design.md.
func DesignTargets() Targets {
	return Targets{
		AddedTTFTp99: TargetAddedP99, AtStreams: TargetStreamsForP99,
		TokensPerCore: TargetTokensPerCore, BytesPerStream: TargetBytesPerStream,
	}
}

// WriteTable prints the measurements, followed by the targets.
func WriteTable(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "way\tstreams\trequests\tTTFT p50\tTTFT p99\ttokens/s\tCPU/token\tadded p50\tadded p99\ttokens/s/core\tKiB/stream\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%.0f\t%s\t", r.Path, r.Streams, r.Requests,
			micros(r.TTFTp50), micros(r.TTFTp99), r.TokensPerSecond, micros(r.CPUPerToken))
		if r.Path == Direct {
			fmt.Fprintln(w, "\t\t\t\t")
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%.1f\t\n", micros(r.AddedTTFTp50), micros(r.AddedTTFTp99),
			r.AddedTokensPerCore, float64(r.AddedBytesPerStream)/1024)
	}
	t := DesignTargets()
	fmt.Fprintf(w, "target\t\t\t\t\t\t\t\t<%s at %d\t>=%.0f\t<%d\t\n",
		micros(t.AddedTTFTp99), t.AtStreams, t.TokensPerCore, t.BytesPerStream/1024)
	return w.Flush()
}

func micros(d time.Duration) string {
	return fmt.Sprintf("%.1fµs", float64(d)/float64(time.Microsecond))
}
