// Package agent implements the agent, the process that controls one worker and the
// backend server on the same machine. Only the agent reserves the resources of its
// worker and starts and stops tasks there.
// It also keeps a record of the requests that its backend server ran.
package agent
