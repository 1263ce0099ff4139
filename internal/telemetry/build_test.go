package telemetry

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

func TestBuild(t *testing.T) {
	if Build() == "unknown" || strings.ContainsAny(Build(), "\"\\ \n") {
		t.Errorf("build %q of the test program, want an id that fits a label", Build())
	}
	RegisterBuild()
	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	if want := `sniperill_build_info{build="` + Build() + `"} 1`; !strings.Contains(out.String(), want) {
		t.Errorf("the metrics don't have %s", want)
	}
}

func TestLinkerIDOfOtherFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "text")
	if err := os.WriteFile(path, []byte("no program"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, p := range []string{path, path + "-missing"} {
		if got := linkerID(p); got != "" {
			t.Errorf("%s: id %q, want none", p, got)
		}
	}
}
