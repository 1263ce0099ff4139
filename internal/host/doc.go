// Package host implements the agent that runs next to one worker. The agent carries out the
// planner's orders, renews the worker's lease as far as the planner has granted it, and reports
// which runs are running and which have ended. It keeps no state that it can't get from the
// worker again.
package host
