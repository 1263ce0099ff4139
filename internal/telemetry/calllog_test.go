package telemetry_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/telemetry"
)

// The lines of one team's calls are bounded, those of another are still written, and the log tells what is missing.
func TestCallLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := zerolog.New(&out)
		var lines telemetry.CallLines
		for range 10_000 {
			lines.Logger(&log, "red").Info().Msg("red line")
		}
		lines.Logger(&log, "blue").Info().Msg("blue line")
		time.Sleep(time.Second)
		lines.Logger(&log, "red").Info().Msg("late line")
		got := out.String()
		if n := strings.Count(got, "red line"); n != 400 {
			t.Errorf("%d lines of one team", n)
		}
		for _, want := range []string{"blue line", `"team":"red","lines":9600,`, "late line"} {
			if !strings.Contains(got, want) {
				t.Errorf("the log lacks %s", want)
			}
		}
	})
}

// Teams without number can't make the log or its state grow.
func TestCallLinesOfManyTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := zerolog.New(&out)
		var lines telemetry.CallLines
		for i := range 10_000 {
			lines.Logger(&log, strings.Repeat("x", i+1)).Info().Msg("line")
		}
		if n := strings.Count(out.String(), `"line"`); n != 1000+400 {
			t.Errorf("%d lines of 10,000 teams", n)
		}
	})
}

func TestShorten(t *testing.T) {
	for _, tt := range []struct{ in, want string }{
		{"/batch/1", "/batch/1"},
		{strings.Repeat("x", 300), strings.Repeat("x", telemetry.MaxLogged) + "..."},
	} {
		if got := telemetry.Shorten(tt.in); got != tt.want {
			t.Errorf("Shorten of %d bytes = %q", len(tt.in), got)
		}
	}
}
