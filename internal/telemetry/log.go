// Package telemetry sets up the logs, traces and metrics of a process.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// componentField names the part of the process that a line comes from.
const componentField = "part"

// LogFormat says how log lines are written.
type LogFormat string

// Formats of log lines.
const (
	LogJSON LogFormat = "json"
	LogText LogFormat = "text"
)

// NewLogger returns the logger of a process. Level is one of zerolog's names.
func NewLogger(w io.Writer, format LogFormat, level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("telemetry.NewLogger: %w", err)
	}
	if format == LogText {
		w = zerolog.ConsoleWriter{
			Out:           w,
			TimeFormat:    time.TimeOnly,
			NoColor:       true,
			PartsOrder:    []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, componentField, zerolog.MessageFieldName},
			FieldsExclude: []string{componentField},
		}
	}
	return zerolog.New(w).Level(l).With().Timestamp().Logger(), nil
}

// ComponentLogger returns the logger of one part of a process; every line carries its name.
func ComponentLogger(l zerolog.Logger, name string) zerolog.Logger {
	return l.With().Str(componentField, name).Logger()
}
