// Package host is the agent beside one worker. It runs the planner's orders, renews
// the worker's lease as far as the planner granted, and reports what runs and what
// ended. It remembers nothing that the worker can't tell it again.
package host
