// Package svgfile writes plots to SVG files.
package svgfile

import (
	"os"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Save writes the canvas to an SVG file.
func Save(path string, canvas *vgsvg.Canvas) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create plot")
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "write plot")
	}
	return eris.Wrap(file.Close(), "close plot")
}
