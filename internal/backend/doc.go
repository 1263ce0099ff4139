// Package backend is the agent's client for the backend server on the same worker.
//
// It keeps the slots and connections of the server within their limits, and returns
// only complete answers that carry the id and attempt of their request. Errors tell
// whether the request may have run: if errors.Is(err, shop.ErrNotRun), the request
// never left the agent, otherwise errors.Is(err, shop.ErrMayHaveRun).
package backend
