package placement

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"mimosaseam.example/mimosaseam/internal/bench/svgfile"
)

// panel is one bar chart of the comparison.
type panel struct {
	title string
	value func(Result) float64
}

var panels = []panel{
	{"wasted tokens (M)", func(r Result) float64 { return float64(r.WastedTokens) / 1e6 }},
	{"p99 TTFT (s)", func(r Result) float64 { return r.TTFTp99Ms / 1000 }},
	{"prefix hit rate", func(r Result) float64 { return r.PrefixHitRate }},
}

// Plot writes an SVG with one bar chart per metric and one bar per policy.
func Plot(path string, results []Result) error {
	canvas := vgsvg.New(14*vg.Inch, 4*vg.Inch)
	tiles := draw.Tiles{Rows: 1, Cols: len(panels), PadX: vg.Points(20), PadTop: vg.Points(8), PadBottom: vg.Points(8),
		PadLeft: vg.Points(8), PadRight: vg.Points(8)}
	for i, panel := range panels {
		p, err := panel.chart(results)
		if err != nil {
			return err
		}
		p.Draw(tiles.At(draw.New(canvas), i, 0))
	}
	return svgfile.Save(path, canvas)
}

func (p panel) chart(results []Result) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text = p.title
	chart.Y.Min = 0
	var names []string
	var values plotter.Values
	for _, r := range results {
		if len(names) == len(Policies) {
			break
		}
		names, values = append(names, r.Policy), append(values, p.value(r))
	}
	bars, err := plotter.NewBarChart(values, vg.Points(36))
	if err != nil {
		return nil, eris.Wrapf(err, "draw %q", p.title)
	}
	chart.Add(bars)
	chart.NominalX(names...)
	return chart, nil
}
