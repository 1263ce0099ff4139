package matrix

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// pairSeed is the seed that the pairs of faults are drawn with.
const pairSeed = 5

// TestFaultMatrix runs the scenario once per cell, with the fault injected when the step is reached.
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

// TestFaultPairs runs the scenario with pairs of faults drawn from a fixed seed.
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

// drawFault returns a random fault other than None at a random step. It lasts for 0.2 to 2
// times its default duration.
func drawFault(r *rand.Rand) *armedFault {
	faults := Faults()[1:]
	a := &armedFault{step: Steps()[r.IntN(len(Steps()))], fault: faults[r.IntN(len(faults))], afterAnswer: r.IntN(2) == 1}
	a.duration = time.Duration(float64(defaultDuration(a.fault)) * (0.2 + 1.8*r.Float64()))
	return a
}

// testName returns a step or fault as a part of a test's name.
func testName[T ~string](s T) string { return strings.ReplaceAll(string(s), " ", "_") }
