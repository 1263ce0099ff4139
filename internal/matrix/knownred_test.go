package matrix

import (
	"testing"
)

// skipKnownRed passes over a cell that is listed as red, and prints it.
func skipKnownRed(t *testing.T) {
	t.Helper()
	list, err := ReadKnownRed()
	if err != nil {
		t.Fatal(err)
	}
	if r, ok := list.Find(t.Name()); ok {
		t.Skipf("known red: %s: %s", r.Test, r.Description)
	}
}
