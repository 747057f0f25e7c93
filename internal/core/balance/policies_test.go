package balance

import (
	"testing"

	"github.com/matryer/is"
)

// total sums up runs of one policy with several seeds.
type total struct{ sent, inTime, refused, p99, thirds float64 }

const loadSeeds = 3

func runSeeds(s loadShape, newChooser func(*loadWorld, int) chooser) total {
	var sum total
	for seed := range loadSeeds {
		s.seed = uint64(seed + 1)
		r := runLoad(s, newChooser)
		sum.sent, sum.inTime, sum.refused = sum.sent+float64(r.sent), sum.inTime+float64(r.inTime), sum.refused+float64(r.refused)
		sum.p99, sum.thirds = sum.p99+r.p99()/loadSeeds, sum.thirds+r.thirdsRatio(s.speeds)/loadSeeds
	}
	return sum
}

// Guards against a choice that serves fewer plain requests in time than the fewest requests or
// than the averages of the targets do, when targets differ in speed and change it often.
func TestChoiceUnderLoad(t *testing.T) {
	shapes := []struct {
		name   string
		change func(*loadShape)
	}{
		{"a third of the capacity", func(s *loadShape) { s.perSecond = 400 }},
		{"two thirds", func(*loadShape) {}},
		{"nearly all", func(s *loadShape) { s.perSecond = 1050 }},
		{"speed not reported", func(s *loadShape) { s.reportsSpeed = false }},
		{"120 routers", func(s *loadShape) { s.routers = 120 }},
		{"equal targets", func(s *loadShape) { s.speeds = []float64{1} }},
		{"three zones", func(s *loadShape) { s.zones, s.targets, s.perSecond = 3, 9, 1200 }},
	}
	for _, shape := range shapes {
		t.Run(shape.name, func(t *testing.T) {
			is := is.New(t)
			s := evenLoad()
			shape.change(&s)
			least, today, product := runSeeds(s, newLeastRequests), runSeeds(s, newToday), runSeeds(s, newProduct)
			for name, r := range map[string]total{"least requests": least, "averages": today, "product": product} {
				t.Logf("%-14s in time %.4f refused %.4f p99 %.0f ms slowest third %.2f", name, r.inTime/r.sent, r.refused/r.sent, r.p99, r.thirds)
			}
			is.True(product.inTime/product.sent >= least.inTime/least.sent)
			is.True(product.inTime/product.sent >= today.inTime/today.sent)
		})
	}
}

// Guards against targets that attract requests by reports of being idle and fast: with one or two
// of six lying, no more requests are late than by the averages of the targets' answers.
func TestLyingTargets(t *testing.T) {
	for _, lying := range []int{1, 2} {
		is := is.New(t)
		s := evenLoad()
		s.lying, s.perSecond = lying, 600
		today, product := runSeeds(s, newToday), runSeeds(s, newProduct)
		t.Logf("%d lie: in time %.4f, by averages %.4f, by fewest requests %.4f", lying, product.inTime/product.sent, today.inTime/today.sent,
			func() float64 { l := runSeeds(s, newLeastRequests); return l.inTime / l.sent }())
		is.True(product.inTime/product.sent >= today.inTime/today.sent)
	}
}

// Guards against another choice where targets do not report their slowness.
func TestSilentTargetsAsBefore(t *testing.T) {
	is := is.New(t)
	s := evenLoad()
	s.silent = true
	today, product := runLoad(s, newToday), runLoad(s, newProduct)
	is.Equal(product.latencies, today.latencies)
	is.Equal(product.refused, today.refused)
}
