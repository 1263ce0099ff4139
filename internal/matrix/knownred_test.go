package matrix

import (
	"testing"
)

// skipKnownRed skips a test that is listed in KnownRedFile, with its description as the message.
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
