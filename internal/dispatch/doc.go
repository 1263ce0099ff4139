// Package dispatch is the planner of workflows: it steps up when no other planner is
// seen, claims runs in the journal, orders agents to start and stop them, and stores
// their ends. All that it decides is in the journal before it takes effect.
package dispatch
