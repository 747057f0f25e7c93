package day

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"mimosaseam.example/mimosaseam/internal/bench/svgfile"
)

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, group := range []struct {
		name string
		of   map[string]*Outcomes
	}{{"route", r.Routes}, {"client account", r.Accounts}, {"availability zone", r.Zones}, {"router with the worst share on time", r.worstRouters()}} {
		fmt.Fprintf(w, "%s\trequests\ton time\tlate\trefused\tfailed\tbroken off\tleft\tnot allowed\ton time of allowed\t\n", group.name)
		for _, name := range slices.Sorted(maps.Keys(group.of)) {
			o := group.of[name]
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", name, o.Requests, o.OnTime, o.Late, o.Refused, o.Failed,
				o.Aborted, o.Disconnected, o.NotAllowed, float64(o.OnTime)/float64(max(1, o.Requests-o.NotAllowed)))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "time to first token, mean ms\tanswers\tqueue at router\twait at target\tprefill\tlink\trest\ttotal\tp90\t")
	for _, route := range slices.Sorted(maps.Keys(r.Parts)) {
		p := r.Parts[route]
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", route, p.Responses, p.QueuedMs, p.WaitMs, p.PrefillMs,
			p.LinkMs, p.RestMs, p.TTFTMs, p.P90Ms)
	}
	t := r.Tokens
	fmt.Fprintf(w, "\nprompt tokens\tread\tcached\tfetched\tread again\twasted\t\n%d\t%d\t%d\t%d\t%d\t%d\t\n",
		t.Prompt, t.Prefilled(), t.Cached, t.Fetched, t.Recomputed, t.Wasted)
	fmt.Fprintln(w, "\ntokens of shared parts read again\ttokens\tshare of read\t")
	for _, reason := range []Reread{RereadOutdated, RereadUnfinished, RereadUnknown, RereadNotFetched} {
		fmt.Fprintf(w, "%s\t%d\t%.3f\t\n", reason, r.Rereads[reason], float64(r.Rereads[reason])/float64(max(1, t.Prefilled())))
	}
	fmt.Fprintf(w, "\nsends\trepeats\torders\tlines not understood\t\n%d\t%d\t%d\t%d\t\n", r.Attempts, r.Retries, r.Orders, r.Skipped)
	return eris.Wrap(w.Flush(), "write report")
}

// maxRouters bounds the routers in the table: a fleet has hundreds.
const maxRouters = 10

// worstRouters returns the routers with the smallest share of requests on time.
func (r *Report) worstRouters() map[string]*Outcomes {
	share := func(name string) float64 {
		o := r.Routers[name]
		return float64(o.OnTime) / float64(max(1, o.Requests-o.NotAllowed))
	}
	names := slices.SortedFunc(maps.Keys(r.Routers), func(a, b string) int {
		return cmp.Or(cmp.Compare(share(a), share(b)), cmp.Compare(a, b))
	})
	worst := map[string]*Outcomes{}
	for _, name := range names[:min(maxRouters, len(names))] {
		worst[name] = r.Routers[name]
	}
	return worst
}

// WritePlot writes an SVG chart of the outcomes per second.
func (r *Report) WritePlot(path string) error {
	chart := plot.New()
	chart.Title.Text = "requests by the second in which they ended"
	chart.Legend.Top = true
	var below *plotter.BarChart
	for i, series := range []struct {
		name  string
		value func(Second) int
	}{
		{"on time", func(s Second) int { return s.OnTime }},
		{"late", func(s Second) int { return s.Late }},
		{"refused", func(s Second) int { return s.Refused }},
		{"failed or broken off", func(s Second) int { return s.Failed + s.Aborted }},
		{"client left", func(s Second) int { return s.Disconnected }},
	} {
		values := make(plotter.Values, len(r.Seconds))
		for j, s := range r.Seconds {
			values[j] = float64(series.value(s))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(6))
		if err != nil {
			return eris.Wrapf(err, "draw %q", series.name)
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		chart.Add(bars)
		chart.Legend.Add(series.name, bars)
	}
	canvas := vgsvg.New(12*vg.Inch, 5*vg.Inch)
	chart.Draw(draw.New(canvas))
	return svgfile.Save(path, canvas)
}
