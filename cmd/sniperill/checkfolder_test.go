package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestCheckFolder(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(folder, name)
		if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	const team = `{"teams": [{"name": "quotes", "guarantees": [{"shape": {"accelerators": 4}, "count": 3}]}]}`
	const classes = `{"classes": [{"name": "price", "urgent": true, "deadline": "10s"}, {"name": "mockup", "idempotent": true, "preemptible": true, "grace": "3s"}],
		"backend-servers": [{"name": "*", "classes": ["price"]}]}`
	workers := write("workers.json", `{"workers": [{"name": "w1", "health": "alive", "region": "south", "zone": "a", "rack": "r", "accelerators": 8,
		"used-accelerators": 0, "cores": 32, "memory": "64GiB", "tasks": 0, "config-version": 1}]}`)
	entrySettings := write("entry.json", `{"shutdown-timeout": "5s"}`)
	tests := []struct {
		name, team, classes string
		args                []string
		status              int
		problems, warnings  []string // File, kind and field of each.
	}{
		{"sound", team, `{"classes": [{"name": "mockup"}]}`, nil, exitDone, nil, nil},
		{"a mistake", `{"teams": [{"name": "quotes", "quota": -1}]}`, classes, nil, exitError, []string{"1.json teams.quotes.quota"}, nil},
		{"warnings", team, classes, []string{"--workers", workers}, exitError, nil, []string{
			"2.json contradiction classes.mockup.grace", "1.json contradiction teams.quotes.guarantees[0]",
		}},
		{"no such file of workers", team, classes, []string{"--workers", filepath.Join(folder, "missing.json")}, exitNotRun, nil, nil},
		{"a file of workers without any", team, classes, []string{"--workers", write("none.json", `{"workers": []}`)}, exitNotRun, nil, nil},
		{"no such settings", team, classes, []string{"--settings", "entry", filepath.Join(folder, "missing.json")}, exitNotRun, nil, nil},
		{
			"requests longer than a shutdown", team, classes,
			[]string{"--settings", "entry", entrySettings},
			exitError,
			[]string{
				"entry.json name", "entry.json keys.authority", "entry.json keys.certificate", "entry.json keys.key", "entry.json peers", "entry.json callers",
			},
			[]string{"2.json contradiction classes.mockup.grace", "2.json contradiction classes.price.deadline"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			config := filepath.Dir(write("config/1.json", tt.team))
			write("config/2.json", tt.classes)
			out, err := runCommand(t, append([]string{"check", "--json", "--config", config}, tt.args...)...)
			if got := exitStatus(err); got != tt.status {
				t.Fatalf("error %v: status %d, want %d", err, got, tt.status)
			}
			if tt.status == exitNotRun {
				return
			}
			var result checkResult
			if err := json.Unmarshal([]byte(out), &result); err != nil {
				t.Fatal(err)
			}
			var problems, warnings []string
			for _, p := range result.Problems {
				problems = append(problems, filepath.Base(p.File)+" "+p.Field)
			}
			for _, f := range result.Warnings {
				warnings = append(warnings, f.File+" "+string(f.Kind)+" "+f.Field)
			}
			if diff := cmp.Diff([2][]string{tt.problems, tt.warnings}, [2][]string{problems, warnings}); diff != "" {
				t.Errorf("problems and warnings (-want +got):\n%s", diff)
			}
			if result.OK != (tt.status == exitDone) {
				t.Errorf("ok is %t with status %d", result.OK, tt.status)
			}
		})
	}
	if _, err := runCommand(t, "check", "--config", filepath.Join(folder, "missing")); exitStatus(err) != exitNotRun {
		t.Errorf("error %v for a missing folder: status %d, want %d", err, exitStatus(err), exitNotRun)
	}
}
