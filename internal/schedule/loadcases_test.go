package schedule_test

import (
	"time"
)

// jobClass describes one kind of an order desk's jobs.
type jobClass struct {
	priority               int
	onTimeValue, lateValue float64 // Value of a job of average size if it is on time, and if it is late.
	arrivalRate            float64 // Jobs a second.
	burstFactor            float64 // Multiple of the arrival rate during the class's burst.
	meanRunTime            time.Duration
	runTimeSigma           float64 // Standard deviation of the run time's logarithm.
	maxRunTime             time.Duration
	meanTasks              float64
	maxTasks               int
	accelerators           []int
	milliCores, memoryMB   int
	stretch                float64
	target                 time.Duration
	gangShare              float64 // Share of gangs among the jobs with several tasks.
	sameRackShare          float64 // Share of the gangs that should run in one rack.
	checkpointShare        float64 // Share of the jobs that checkpoint.
	maxEstimateError       float64
}

// Loads of the two order desks, from their site files. The grown ones are for more workers and teams.
var (
	chalkClasses = []jobClass{
		{1, 3, 0.9, 0.336, 2.4, 11 * time.Second, 0.3, 11 * time.Second, 1.5, 9, []int{1, 2, 4, 8, 8}, 52000, 140000, 3, time.Second, 1, 0.6, 0.45, 0.2},
		{0, 4, 0.8, 0.482, 2.3, 2500 * time.Millisecond, 0.5, 8 * time.Second, 3.4, 21, []int{1, 2, 4, 8, 8}, 15000, 22000, 1.5, 250 * time.Millisecond, 1, 0.8, 0, 0.9},
		{2, 1, 0.3, 0.255, 1, 6100 * time.Millisecond, 0.3, 11 * time.Second, 9.2, 55, []int{1}, 11000, 23000, 3, 3 * time.Second, 0, 0, 0.45, 0.9},
	}
	apronsClasses = []jobClass{
		{1, 3, 1.5, 0.456, 2.4, 8500 * time.Millisecond, 0.3, 11 * time.Second, 1.5, 9, []int{1, 2, 4, 8, 8}, 13000, 68000, 3, time.Second, 1, 0.6, 0.45, 0.9},
		{0, 4, 0.8, 0.476, 2.3, 2500 * time.Millisecond, 0.5, 8 * time.Second, 3, 18, []int{1, 2, 4, 8, 8}, 3700, 11000, 1.5, 250 * time.Millisecond, 1, 0.8, 0, 0.2},
		{2, 1, 0.5, 0.275, 1, 6100 * time.Millisecond, 0.3, 11 * time.Second, 9.2, 55, []int{1}, 2800, 15000, 3, 3 * time.Second, 0, 0, 0.45, 0.2},
	}
)

// Loads of the two order desks once they have grown.
var (
	chalkGrownClasses = []jobClass{
		{1, 3, 0.9, 0.596, 2.4, 11 * time.Second, 0.3, 11 * time.Second, 7.7, 46, []int{1, 2, 4, 8, 8}, 52000, 140000, 3, time.Second, 1, 0.6, 0.45, 0.2},
		{0, 4, 0.8, 2.33, 2.3, 2500 * time.Millisecond, 0.5, 8 * time.Second, 5.4, 32, []int{1, 2, 4, 8, 8}, 15000, 22000, 1.5, 250 * time.Millisecond, 1, 0.8, 0, 0.9},
		{2, 1, 0.3, 0.538, 1, 6100 * time.Millisecond, 0.3, 11 * time.Second, 39, 230, []int{1}, 11000, 23000, 3, 3 * time.Second, 0, 0, 0.45, 0.9},
	}
	apronsGrownClasses = []jobClass{
		{1, 3, 1.5, 0.655, 2.4, 11 * time.Second, 0.3, 11 * time.Second, 6.3, 38, []int{1, 2, 4, 8, 8}, 13000, 38000, 3, time.Second, 1, 0.6, 0.45, 0.5},
		{0, 4, 0.8, 2.42, 2, 2500 * time.Millisecond, 0.5, 8 * time.Second, 4.7, 28, []int{1, 2, 4, 8, 8}, 3700, 20000, 1.5, 250 * time.Millisecond, 1, 0.8, 0, 0.9},
		{2, 1, 0.5, 0.509, 1.9, 7600 * time.Millisecond, 0.3, 11 * time.Second, 30, 180, []int{1}, 2800, 8200, 3, 3 * time.Second, 0, 0, 0.45, 0.5},
	}
)

// loadCase is a configuration of an order desk whose days are simulated.
type loadCase struct {
	name                 string
	classes              []jobClass
	workers, teams       int
	workersPerRack       int
	milliCores, memoryMB int           // Per worker.
	stopTime             time.Duration // Time from telling a unit to stop until its end is known.
	powerLossAt          time.Duration
}

var loadCases = []loadCase{
	{"chalk", chalkClasses, 11, 4, 3, 128000, 262144, 150 * time.Millisecond, 0},
	{"aprons", apronsClasses, 11, 4, 3, 32000, 131072, 250 * time.Millisecond, 0},
	{"chalk-power-loss", chalkClasses, 11, 4, 3, 128000, 262144, 150 * time.Millisecond, 34 * time.Second},
	{"aprons-power-loss", apronsClasses, 11, 4, 3, 32000, 131072, 250 * time.Millisecond, 34 * time.Second},
	{"chalk-grown", chalkGrownClasses, 74, 10, 8, 128000, 262144, 150 * time.Millisecond, 0},
	{"aprons-grown", apronsGrownClasses, 61, 10, 6, 32000, 131072, 500 * time.Millisecond, 0},
}
