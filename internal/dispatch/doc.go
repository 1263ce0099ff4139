// Package dispatch implements the planner of workflows. Every entry runs a Planner on standby,
// which steps up when no other planner is active. The active planner claims runs in the
// journal, orders agents to start and stop them, and stores how they ended. Every decision is
// in the journal before it takes effect.
//
// A unit is a single task, or all tasks of a gang. A run is one attempt to execute a unit, and has a
// member for each task. An epoch is the number of an active planner; later planners have higher ones.
package dispatch
