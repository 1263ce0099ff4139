package matrix

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestFaultsPage checks that the page in the module is current.
func TestFaultsPage(t *testing.T) {
	root, err := ModuleRoot()
	if err != nil {
		t.Fatal(err)
	}
	red, err := ReadKnownRed()
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(filepath.Join(root, PageFile))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Page(red), string(got)); diff != "" {
		t.Errorf("go run ./internal/matrix/page (-want +got):\n%s", diff)
	}
}
