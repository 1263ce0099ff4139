// Package telemetry sets up logging, tracing and metrics of a process.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// componentField is the log field with the component that a line comes from.
const componentField = "part"

// LogFormat is the format of log lines.
type LogFormat string

// Formats of log lines.
const (
	LogJSON LogFormat = "json"
	LogText LogFormat = "text"
)

// NewLogger returns the logger of a process. The level is one of zerolog's level
// names; NewLogger fails when it isn't.
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

// ComponentLogger returns the logger of one component of a process. Each line has the
// component's name as a field.
func ComponentLogger(l zerolog.Logger, name string) zerolog.Logger {
	return l.With().Str(componentField, name).Logger()
}
