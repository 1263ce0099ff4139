// Package dispatch implements the planner of workflows. Every entry runs a Planner on standby,
// which steps up when no other planner is active. The active planner claims runs in the
// journal, orders agents to start and stop them, and stores how they ended. Every decision is
// in the journal before it takes effect.
package dispatch
