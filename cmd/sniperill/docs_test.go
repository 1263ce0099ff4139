package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"sniperill.example/sniperill/internal/settings"
	"sniperill.example/sniperill/pkg/shop"
)

const root = "../.."

// linkTarget matches the target of a Markdown link, without its fragment.
var linkTarget = regexp.MustCompile(`\]\(([^)#\s]+)(?:#[^)]*)?\)`)

// pages returns the paths of all Markdown files at the root and under docs/.
func pages(t *testing.T) []string {
	t.Helper()
	out, err := filepath.Glob(filepath.Join(root, "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	err = filepath.WalkDir(filepath.Join(root, "docs"), func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".md") {
			out = append(out, path)
		}
		return err
	})
	if err != nil || len(out) < 2 {
		t.Fatalf("found pages %v, want at least 2; error %v", out, err)
	}
	return out
}

// TestLinks guards against relative links to files that do not exist, and against pages
// that no other page links to.
func TestLinks(t *testing.T) {
	linked := map[string]bool{filepath.Join(root, "README.md"): true}
	for _, page := range pages(t) {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range linkTarget.FindAllStringSubmatch(string(data), -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			target := filepath.Join(filepath.Dir(page), match[1])
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s: link to %s: %v", page, match[1], err)
			}
			if target != page {
				linked[target] = true
			}
		}
	}
	for _, page := range pages(t) {
		if !linked[page] {
			t.Errorf("%s: no page links to it", page)
		}
	}
}

// TestExamples checks that the example settings and configuration of install.md are valid.
func TestExamples(t *testing.T) {
	folder := filepath.Join(root, "docs/operators/examples")
	tests := []struct {
		file   string
		target any
	}{
		{"entry-1.json", &settings.Entry{}},
		{"agent-1.json", &settings.Agent{}},
		{"log.json", &settings.StandIn{}},
		{"worker.json", &settings.StandIn{}},
		{"backend-server.json", &settings.StandIn{}},
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil || len(files) != len(tests) {
		t.Errorf("found %d example files, but %d are tested; error %v", len(files), len(tests), err)
	}
	for _, tt := range tests {
		if err := settings.Read(filepath.Join(folder, tt.file), tt.target); err != nil {
			t.Error(err)
		}
	}
	if _, err := shop.ReadFolder(os.DirFS(filepath.Join(folder, "config"))); err != nil {
		t.Error(err)
	}
}
