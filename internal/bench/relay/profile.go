package relay

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/pprof"

	"github.com/rotisserie/eris"
)

// startCPUProfile profiles one round if ProfileDir is set.
func (o Options) startCPUProfile(path string, streams, round int) (stop func(), err error) {
	if o.ProfileDir == "" {
		return func() {}, nil
	}
	file, err := o.profileFile(fmt.Sprintf("cpu-%s-%d-%d.pprof", path, streams, round))
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		_ = file.Close()
		return nil, eris.Wrap(err, "starting the CPU profile")
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

// writeHeapProfile writes a profile of the live heap if ProfileDir is set.
func (o Options) writeHeapProfile(path string, streams int) error {
	if o.ProfileDir == "" {
		return nil
	}
	file, err := o.profileFile(fmt.Sprintf("heap-%s-%d.pprof", path, streams))
	if err != nil {
		return err
	}
	defer file.Close()
	return eris.Wrap(pprof.WriteHeapProfile(file), "writing the heap profile")
}

func (o Options) profileFile(name string) (*os.File, error) {
	file, err := os.Create(filepath.Join(o.ProfileDir, name))
	return file, eris.Wrap(err, "creating a profile")
}
