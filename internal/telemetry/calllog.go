package telemetry

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// Limits of the log lines that calls cause.
const (
	// teamLines and teamLinesBurst are for the calls of one team, a second and at once.
	teamLines, teamLinesBurst = 100, 400
	// allLines and allLinesBurst are for all calls.
	allLines, allLinesBurst = 4 * teamLines, 4 * teamLinesBurst
	// maxLimitedTeams bounds the teams that are told apart. Further ones count as one.
	maxLimitedTeams = 1000
	// MaxLogged is the maximum length of what a client chose in a log line, in bytes.
	MaxLogged = 256
)

var leftOutLines = metrics.NewCounter("sniperill_log_lines_left_out_total")

// CallLines bounds the rate of the log lines that calls cause, by team, so that the calls of one team don't hide
// those of others. The zero value is ready to use.
type CallLines struct {
	mu    sync.Mutex
	all   *rate.Limiter
	teams map[string]*teamLog
}

// teamLog is what is kept of a team.
type teamLog struct {
	*rate.Limiter
	leftOut int // Lines since the last one that was written.
}

// Logger returns the logger for one line about a call of a team: log, or one that writes nothing if there were too many
// lines.
func (l *CallLines) Logger(log *zerolog.Logger, team string) *zerolog.Logger {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.teams == nil {
		l.teams = make(map[string]*teamLog)
		l.all = rate.NewLimiter(allLines, allLinesBurst)
	}
	t, ok := l.teams[team]
	if !ok {
		if len(l.teams) >= maxLimitedTeams {
			team = ""
		}
		if t, ok = l.teams[team]; !ok {
			t = &teamLog{Limiter: rate.NewLimiter(teamLines, teamLinesBurst)}
			l.teams[team] = t
		}
	}
	if !t.Allow() || !l.all.Allow() {
		t.leftOut++
		leftOutLines.Inc()
		nop := zerolog.Nop()
		return &nop
	}
	if t.leftOut > 0 {
		log.Warn().Str("team", team).Int("lines", t.leftOut).Msg("Left out log lines of calls, as there were too many.")
		t.leftOut = 0
	}
	return log
}

// Shorten returns what a client chose for a log line, without the end of a long one.
func Shorten(s string) string {
	if len(s) <= MaxLogged {
		return s
	}
	return s[:MaxLogged] + "..."
}
