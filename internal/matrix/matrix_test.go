package matrix

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// pairSeed is what the pairs of faults are drawn from.
const pairSeed = 5

func TestFaultMatrix(t *testing.T) {
	for _, c := range Cells() {
		t.Run(c.name(), func(t *testing.T) {
			if c.Reason != "" {
				t.Skip(c.Reason)
			}
			skipKnownRed(t)
			t.Parallel()
			runScenario(t, &armedFault{step: c.Step, fault: c.Fault, duration: defaultDuration(c.Fault)})
		})
	}
}

func TestFaultPairs(t *testing.T) {
	for i := range PairCount {
		r := rand.New(rand.NewPCG(pairSeed, uint64(i)))
		a, b := drawFault(r), drawFault(r)
		t.Run(fmt.Sprintf("%03d_%s_%s_%s_%s", i, testName(a.step), testName(a.fault), testName(b.step), testName(b.fault)), func(t *testing.T) {
			skipKnownRed(t)
			t.Parallel()
			runScenario(t, a, b)
		})
	}
}

// drawFault returns a fault at a step; it may last for longer or shorter than in the matrix.
func drawFault(r *rand.Rand) *armedFault {
	faults := Faults()[1:]
	a := &armedFault{step: Steps()[r.IntN(len(Steps()))], fault: faults[r.IntN(len(faults))], afterAnswer: r.IntN(2) == 1}
	a.duration = time.Duration(float64(defaultDuration(a.fault)) * (0.2 + 1.8*r.Float64()))
	return a
}

func testName[T ~string](s T) string { return strings.ReplaceAll(string(s), " ", "_") }
