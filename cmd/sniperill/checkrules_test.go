package main

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheckRules(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(folder, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	inForce := filepath.Join("..", "..", "platform", "testdata", "configuration.json")
	data, err := os.ReadFile(inForce)
	if err != nil {
		t.Fatal(err)
	}
	newer := strings.Replace(string(data), `"version": 7`, `"version": 8`, 1)
	tests := []struct {
		name, text       string
		status           int
		findings, change string // A part of the output.
	}{
		{"sound, a key ends", strings.Replace(newer, `, "89anu6wsjn"`, "", 1), exitDone, "", "teams.north.keys"},
		{"a service without workers", strings.Replace(newer, `"service": "desk"`, `"service": "lab"`, 1), exitError, "queues.quotes.service", "queues.quotes.service"},
		{"not JSON", `{"version": 8,`, exitError, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			out, err := runCommand(t, "check", "--json", "--rules", write("new.json", tt.text), "--in-force", inForce)
			if got := exitStatus(err); got != tt.status {
				t.Errorf("error %v: status %d, want %d", err, got, tt.status)
			}
			if tt.change == "" {
				return
			}
			var result rulesResult
			if err := json.Unmarshal([]byte(out), &result); err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(out, tt.findings) || len(result.Changes) != 1 || result.Changes[0].Field != tt.change {
				t.Errorf("output %s, want a finding at %q and one change of %q", out, tt.findings, tt.change)
			}
		})
	}
	t.Run("a change that is ignored", func(t *testing.T) {
		file := write("new.json", strings.Replace(string(data), `, "89anu6wsjn"`, "", 1))
		out, err := runCommand(t, "check", "--rules", file, "--in-force", inForce)
		if exitStatus(err) != exitError || !strings.Contains(out, "never-matches: version = 7") {
			t.Errorf("status %d, output %s", exitStatus(err), out)
		}
		if out, err := runCommand(t, "check", "--rules", inForce, "--in-force", inForce); err != nil {
			t.Errorf("the version in force: error %v, output %s", err, out)
		}
	})
	sound, broken := write("sound.json", newer), write("broken.json", `[{"service"`)
	for _, args := range [][]string{{"--workers", broken}, {"--in-force", broken}, {"--workers", filepath.Join(folder, "missing.json")}} {
		if _, err := runCommand(t, append([]string{"check", "--rules", sound}, args...)...); exitStatus(err) != exitNotRun {
			t.Errorf("%v: error %v: status %d, want %d", args, err, exitStatus(err), exitNotRun)
		}
	}
	for _, args := range [][]string{{"--rules", sound, "--config", folder}, {"--rules", sound, sound}, {"--config", folder, "--in-force", sound}} {
		if _, err := runCommand(t, append([]string{"check"}, args...)...); !errors.Is(err, errCheckBoth) {
			t.Errorf("%v: error %v, want %v", args, err, errCheckBoth)
		}
	}
	if _, err := runCommand(t, "check", "--rules", filepath.Join(folder, "missing.json")); exitStatus(err) != exitNotRun {
		t.Errorf("error %v for a missing file: status %d, want %d", err, exitStatus(err), exitNotRun)
	}
}
