package explain_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/explain"
)

const logs = `
 -4.97 entry-a {"level":"info","process":"entry-a","time":"2026-07-19T10:03:43.100Z","job":"aa11","team":"red","offset":36,"message":"Accepted a job."}
not a log line
{"level":"info","process":"entry-b","time":"2026-07-19T10:03:43.900Z","job":"aa11","run":1,"node":"worker-1","message":"Claimed a run."}
{"level":"info","process":"worker-1","time":"2026-07-19T10:03:43.950Z","task":"aa11.0.0.0","run":1,"outcome":"OUTCOME_STARTED","message":"Ran an order."}
{"level":"info","process":"entry-b","time":"2026-07-19T10:03:46.000Z","job":"aa11","for":"bb22","message":"A run gives way."}
{"level":"warn","process":"worker-9","time":"2026-07-19T10:03:46.100Z","message":"The worker doesn't answer."}
{"level":"info","process":"entry-b","time":"2026-07-19T10:03:46.200Z","task":"aa11.0.0.0","run":1,"end":3,"why":"listed","message":"A run is over."}
{"level":"warn","process":"entry-a","time":"2026-07-19T10:03:47.000Z","job":"cc33","error":"store unavailable","not_run":true,"message":"A call could not be written."}
{"level":"info","process":"entry-a","time":"2026-07-19T10:03:47.001Z","method":"POST","path":"/q/cc33","status":503,"why":"not run: the store can't be reached","message":"Answered a call."}
{"level":"info","process":"entry-b","time":"2026-07-19T10:03:48.000Z","job":"ee55","state":"done","took":12.5,"message":"A job's final state is stored."}
{"level":"info","process":"entry-b","time":"2026-07-19T10:03:48.000Z","job":"ff66","state":"done","took":2801.25,"message":"A job's final state is stored."}
{"broken
`

func TestNewReport(t *testing.T) {
	lines, skipped, err := explain.Read(strings.NewReader(logs))
	if err != nil || skipped != 3 {
		t.Fatalf("Read: %d lines skipped, error %v; want 3 and no error", skipped, err)
	}
	tests := []struct {
		id     string
		lines  int
		causes []string
	}{
		{"aa11", 5, []string{
			"gave way to job bb22",
			"1 of its runs were over without being done: it ended as stopped",
			"its first start came 800ms after it was accepted",
		}},
		{"bb22", 1, nil},
		{"cc33", 2, []string{"POST was answered 503 at entry-a: not run: the store can't be reached"}},
		{"dd44", 0, nil},
		{"ee55", 1, nil},
		{"ff66", 1, []string{"its end was known 2.801s before it could be stored; callers see it from then on"}},
	}
	for _, tt := range tests {
		r := explain.NewReport(lines, tt.id)
		if len(r.Lines) != tt.lines {
			t.Errorf("%s: %d lines, want %d", tt.id, len(r.Lines), tt.lines)
		}
		if diff := cmp.Diff(tt.causes, r.Causes); diff != "" {
			t.Errorf("%s: causes (-want +got):\n%s", tt.id, diff)
		}
	}
}

func TestReportIsWrittenInOrder(t *testing.T) {
	lines, _, err := explain.Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	want := `10:03:43.100   entry-a          Accepted a job. job=aa11 offset=36 team=red
10:03:43.900   entry-b          Claimed a run. job=aa11 node=worker-1 run=1
10:03:43.950   worker-1         Ran an order. outcome=OUTCOME_STARTED run=1 task=aa11.0.0.0
             ... 2.05s
10:03:46.000   entry-b          A run gives way. for=bb22 job=aa11
10:03:46.100 | worker-9         The worker doesn't answer.
10:03:46.200   entry-b          A run is over. end=3 run=1 task=aa11.0.0.0 why=listed

Cause: gave way to job bb22.
Cause: 1 of its runs were over without being done: it ended as stopped.
Cause: its first start came 800ms after it was accepted.
`
	if diff := cmp.Diff(want, explain.NewReport(lines, "aa11").String()); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
}
