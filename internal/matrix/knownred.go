package matrix

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// KnownRedFile is the path, relative to the root of the module, of the list of tests that
// fail because of a fault that isn't fixed yet.
const KnownRedFile = "KNOWN-RED.txt"

// KnownRed is an entry of KnownRedFile: a test that fails because of a known fault.
type KnownRed struct {
	Test string
	// Description gives the command, the observed failure and the issue.
	Description string
}

// KnownRedList holds the entries of KnownRedFile, in its order.
type KnownRedList []KnownRed

// Find returns the entry of a test, and false when there is none.
func (l KnownRedList) Find(test string) (KnownRed, bool) {
	for _, r := range l {
		if r.Test == test {
			return r, true
		}
	}
	return KnownRed{}, false
}

// ReadKnownRed reads KnownRedFile. Lines that don't start with the name of a test are
// ignored; if the file doesn't exist, the list is empty.
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
		test, description, _ := strings.Cut(strings.TrimSpace(line), " ")
		if strings.HasPrefix(test, "Test") {
			out = append(out, KnownRed{Test: test, Description: strings.TrimSpace(description)})
		}
	}
	return out, nil
}

// ModuleRoot returns the root directory of the module that contains the current directory.
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
