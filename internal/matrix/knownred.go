package matrix

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// KnownRedFile lists the tests that fail for a fault that is not mended yet.
const KnownRedFile = "KNOWN-RED.txt"

// KnownRed is a test that fails for a known fault.
type KnownRed struct {
	Test string
	// Description is the command, what was seen, and the issue.
	Description string
}

// KnownRedList is the known red tests.
type KnownRedList []KnownRed

// Find returns the entry of a test.
func (l KnownRedList) Find(test string) (KnownRed, bool) {
	for _, r := range l {
		if r.Test == test {
			return r, true
		}
	}
	return KnownRed{}, false
}

// ReadKnownRed reads the list at the root of the module; without a file it is empty.
func ReadKnownRed() (KnownRedList, error) {
	root, err := ModuleRoot()
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(filepath.Join(root, KnownRedFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("matrix.ReadKnownRed: %w", err)
	}
	var out KnownRedList
	for line := range strings.Lines(string(data)) {
		test, seen, _ := strings.Cut(strings.TrimSpace(line), " ")
		if strings.HasPrefix(test, "Test") {
			out = append(out, KnownRed{Test: test, Description: strings.TrimSpace(seen)})
		}
	}
	return out, nil
}

// ModuleRoot returns the directory of the module that the current one is in.
func ModuleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", fmt.Errorf("matrix.Root: %w", err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", fmt.Errorf("matrix.Root: no go.mod above: %w", fs.ErrNotExist)
		}
		dir = parent
	}
}
