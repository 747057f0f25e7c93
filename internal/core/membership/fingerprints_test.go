package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against new evidence that is dropped because older evidence fills the memory, and
// against values that two full routers send to each other without end.
func TestNewFingerprintsReplaceTheOldest(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := newFingerprints()
	for i := range maxFingerprints + 10 {
		f.apply(now.Add(time.Duration(i)*time.Millisecond), port.Fingerprint{Value: fmt.Sprint(i)})
	}
	now = now.Add(time.Minute)
	is.Equal(len(f.reportedAt), maxFingerprints)
	_, oldest := f.reportedAt["9"]
	_, newest := f.reportedAt[fmt.Sprint(maxFingerprints+9)]
	is.True(!oldest && newest)
	f.apply(now, port.Fingerprint{Value: "9", Age: time.Minute})
	_, back := f.reportedAt["9"]
	is.True(!back)
	is.Equal(len(f.updates.items), maxFingerprints)
	is.Equal(len(f.urgent.items), maxFingerprints)
}
