package schedule_test

import (
	"time"
)

// class is one kind of a desk's jobs.
type class struct {
	priority       int
	worth, late    float64 // Of a job of mean work, on time and late.
	rate           float64 // Jobs a second.
	burst          float64 // Times the rate while the class's burst lasts.
	mean           time.Duration
	spread         float64 // Of the run time, as the deviation of its logarithm.
	longest        time.Duration
	width          float64
	widest         int
	accelerators   []int
	cores, memory  int
	stretch        float64
	target         time.Duration
	gangs          float64 // Share of the jobs of several tasks.
	near           float64 // Share of the gangs that should run in one rack.
	checkpoints    float64 // Share of the jobs.
	estimateOffset float64
}

// Load of the two desks in the milestone's site files.
var (
	chalk = []class{
		{1, 3, 0.9, 0.336, 2.4, 11 * time.Second, 0.3, 11 * time.Second, 1.5, 9, []int{1, 2, 4, 8, 8}, 52000, 140000, 3, time.Second, 1, 0.6, 0.45, 0.2},
		{0, 4, 0.8, 0.482, 2.3, 2500 * time.Millisecond, 0.5, 8 * time.Second, 3.4, 21, []int{1, 2, 4, 8, 8}, 15000, 22000, 1.5, 250 * time.Millisecond, 1, 0.8, 0, 0.9},
		{2, 1, 0.3, 0.255, 1, 6100 * time.Millisecond, 0.3, 11 * time.Second, 9.2, 55, []int{1}, 11000, 23000, 3, 3 * time.Second, 0, 0, 0.45, 0.9},
	}
	aprons = []class{
		{1, 3, 1.5, 0.456, 2.4, 8500 * time.Millisecond, 0.3, 11 * time.Second, 1.5, 9, []int{1, 2, 4, 8, 8}, 13000, 68000, 3, time.Second, 1, 0.6, 0.45, 0.9},
		{0, 4, 0.8, 0.476, 2.3, 2500 * time.Millisecond, 0.5, 8 * time.Second, 3, 18, []int{1, 2, 4, 8, 8}, 3700, 11000, 1.5, 250 * time.Millisecond, 1, 0.8, 0, 0.2},
		{2, 1, 0.5, 0.275, 1, 6100 * time.Millisecond, 0.3, 11 * time.Second, 9.2, 55, []int{1}, 2800, 15000, 3, 3 * time.Second, 0, 0, 0.45, 0.2},
	}
)

// Load of the two desks once they have grown.
var (
	chalkGrown = []class{
		{1, 3, 0.9, 0.596, 2.4, 11 * time.Second, 0.3, 11 * time.Second, 7.7, 46, []int{1, 2, 4, 8, 8}, 52000, 140000, 3, time.Second, 1, 0.6, 0.45, 0.2},
		{0, 4, 0.8, 2.33, 2.3, 2500 * time.Millisecond, 0.5, 8 * time.Second, 5.4, 32, []int{1, 2, 4, 8, 8}, 15000, 22000, 1.5, 250 * time.Millisecond, 1, 0.8, 0, 0.9},
		{2, 1, 0.3, 0.538, 1, 6100 * time.Millisecond, 0.3, 11 * time.Second, 39, 230, []int{1}, 11000, 23000, 3, 3 * time.Second, 0, 0, 0.45, 0.9},
	}
	apronsGrown = []class{
		{1, 3, 1.5, 0.655, 2.4, 11 * time.Second, 0.3, 11 * time.Second, 6.3, 38, []int{1, 2, 4, 8, 8}, 13000, 38000, 3, time.Second, 1, 0.6, 0.45, 0.5},
		{0, 4, 0.8, 2.42, 2, 2500 * time.Millisecond, 0.5, 8 * time.Second, 4.7, 28, []int{1, 2, 4, 8, 8}, 3700, 20000, 1.5, 250 * time.Millisecond, 1, 0.8, 0, 0.9},
		{2, 1, 0.5, 0.509, 1.9, 7600 * time.Millisecond, 0.3, 11 * time.Second, 30, 180, []int{1}, 2800, 8200, 3, 3 * time.Second, 0, 0, 0.45, 0.5},
	}
)

// loadCase is a desk's days.
type loadCase struct {
	name               string
	classes            []class
	workers, teams     int
	rack               int           // Workers of a rack.
	milliCores, memory int           // Of a worker.
	stop               time.Duration // A stop, until its end is known.
	powerLoss          time.Duration
}

var loads = []loadCase{
	{"chalk", chalk, 11, 4, 3, 128000, 262144, 150 * time.Millisecond, 0},
	{"aprons", aprons, 11, 4, 3, 32000, 131072, 250 * time.Millisecond, 0},
	{"chalk-power-loss", chalk, 11, 4, 3, 128000, 262144, 150 * time.Millisecond, 34 * time.Second},
	{"aprons-power-loss", aprons, 11, 4, 3, 32000, 131072, 250 * time.Millisecond, 34 * time.Second},
	{"chalk-grown", chalkGrown, 74, 10, 8, 128000, 262144, 150 * time.Millisecond, 0},
	{"aprons-grown", apronsGrown, 61, 10, 6, 32000, 131072, 500 * time.Millisecond, 0},
}
