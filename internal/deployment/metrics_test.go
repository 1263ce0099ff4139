package deployment

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"sniperill.example/sniperill/pkg/caller"
)

// metricName matches the name of a metric without its labels.
var metricName = regexp.MustCompile(`(?m)^(sniperill_[a-z_]+)`)

// TestMetrics checks the health and metrics endpoints of an entry, and that every metric
// is documented. It guards against labels whose values a caller can choose.
func TestMetrics(t *testing.T) {
	l := startLocal(t, &Local{})
	c := callerOf(t, l, "hari-quotes")
	if _, err := c.Call(t.Context(), caller.Request{Class: "price-quote"}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Call(t.Context(), caller.Request{Class: "made-up"}); err == nil {
		t.Error("a request of an unconfigured class was served")
	}
	if _, err := c.Submit(t.Context(), caller.Submission{Class: "mockup"}); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"/livez", "/readyz"} {
		if status, _ := fetchAdmin(t, l, path); status != http.StatusOK {
			t.Errorf("%s: status %d", path, status)
		}
	}
	_, text := fetchAdmin(t, l, "/metrics")
	for _, want := range []string{
		`sniperill_caller_requests_total{class="price-quote",outcome="done"}`,
		`sniperill_caller_requests_total{class="(unknown)",outcome="not-run"}`,
		`sniperill_caller_refusals_total{reason="unknown"}`,
		`sniperill_caller_jobs_total{class="mockup",outcome="accepted"}`,
		`sniperill_config_version 1`,
		`sniperill_workers{health="alive"} 3`,
		`sniperill_broken_guarantees 0`,
		`sniperill_plan_duration_seconds_count`,
		`sniperill_peer_calls_total{procedure="EntryService/Heartbeat"}`,
		`sniperill_gang_preempted_total`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("/metrics lacks %s", want)
		}
	}
	if strings.Contains(text, "made-up") {
		t.Error("the class name of a refused request became a label value")
	}
	page, err := os.ReadFile("../../docs/operators/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, match := range metricName.FindAllStringSubmatch(text, -1) {
		name := match[1]
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("%s is not documented in metrics.md", name)
		}
	}
}

func fetchAdmin(t *testing.T, l *Local, path string) (status int, body string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.RunningEntries[0].AdminAddress()+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(data)
}
