//go:build !linux

package frontdoor

// queueLength returns zero, as only Linux tells how many connections wait to be accepted.
func queueLength(int) (int, error) { return 0, nil }
