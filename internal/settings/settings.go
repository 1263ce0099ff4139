// Package settings reads the JSON settings of the system's processes.
package settings

import (
	"crypto/tls"
	"fmt"
	"os"
	"time"

	"sniperill.example/sniperill/internal/keys"
	"sniperill.example/sniperill/internal/telemetry"
	"sniperill.example/sniperill/pkg/shop"
)

// Process contains the settings that all processes of the system have.
type Process struct {
	// Name is the name of the process. It must stay the same after a restart.
	Name string `json:"name" validate:"required,hostname_rfc1123"`
	// Place is where the process runs.
	Place shop.Place `json:"place"`
	// Log is the URL of the platform's append-only log.
	Log string `json:"log,omitempty" validate:"omitempty,url"`
	// Entries are UDP addresses of the load balancer or of entries, as host:port.
	Entries []string          `json:"entries,omitempty" validate:"dive,hostname_port"`
	Keys    Keys              `json:"keys"`
	Logging Logging           `json:"logging"`
	Tracing telemetry.Tracing `json:"tracing"`
	// Admin is the TCP address, as host:port, that serves /metrics, /livez and /readyz.
	Admin string `json:"admin,omitempty" validate:"omitempty,hostname_port"`
	// Peers is the UDP address, as host:port, at which the system's other processes
	// reach this one.
	Peers string `json:"peers" validate:"required,hostname_port"`
	// ShutdownTimeout is the maximum duration of a graceful shutdown; zero means
	// DefaultShutdownTimeout.
	ShutdownTimeout shop.Duration `json:"shutdown-timeout,omitempty" validate:"gte=0"`
}

// Logging contains the settings of a process's own log.
type Logging struct {
	Level  string              `json:"level,omitempty" validate:"omitempty,oneof=trace debug info warn error"`
	Format telemetry.LogFormat `json:"format,omitempty" validate:"omitempty,oneof=json text"`
}

// Keys names the files with which a process authenticates itself and others.
type Keys struct {
	Authority   string `json:"authority" validate:"required"`
	Certificate string `json:"certificate" validate:"required"`
	Key         string `json:"key" validate:"required"`
}

// keyFile is one of the files and the destination of its content.
type keyFile struct {
	field string
	file  string
	data  *[]byte
}

func (k Keys) files(p *keys.Pair) []keyFile {
	return []keyFile{
		{"keys.authority", k.Authority, &p.Authority},
		{"keys.certificate", k.Certificate, &p.Certificate},
		{"keys.key", k.Key, &p.Key},
	}
}

// Check returns a problem for each file that can't be read, or one problem when the
// files don't match.
func (k Keys) Check() shop.ProblemList {
	var p keys.Pair
	var l shop.ProblemList
	for _, f := range k.files(&p) {
		if f.file == "" {
			continue // Read has reported it.
		}
		var err error
		if *f.data, err = os.ReadFile(f.file); err != nil {
			l.Add(f.field, f.file, "can't be read: "+err.Error())
		}
	}
	if len(l) > 0 || k.Authority == "" || k.Certificate == "" || k.Key == "" {
		return l
	}
	if _, err := p.TLS(); err != nil {
		l.Add("keys", "", err.Error())
	}
	return l
}

// Pair reads the files and returns their contents.
func (k Keys) Pair() (*keys.Pair, error) {
	var p keys.Pair
	for _, f := range k.files(&p) {
		data, err := os.ReadFile(f.file)
		if err != nil {
			return nil, fmt.Errorf("settings.Pair: %w", err)
		}
		*f.data = data
	}
	return &p, nil
}

// TLS reads the files and returns a TLS configuration for connections between
// processes.
func (k Keys) TLS() (*tls.Config, error) {
	p, err := k.Pair()
	if err != nil {
		return nil, err
	}
	return p.TLS()
}

// Entry contains the settings of an entry.
type Entry struct {
	Process

	// Callers is the TCP address for callers and operators, served with TLS.
	Callers string `json:"callers" validate:"required,hostname_port"`
	// Memory is the memory that the process may have; zero if it is not known.
	Memory shop.Bytes `json:"memory,omitempty" validate:"gte=0"`
	// Descriptors is the number of file descriptors that the process may have; zero if it is not known.
	Descriptors int `json:"descriptors,omitempty" validate:"gte=0"`
}

// Agent contains the settings of an agent.
type Agent struct {
	Process

	// Worker is the URL of the worker that the agent runs on.
	Worker string `json:"worker" validate:"required,url"`
	// Backend is the URL of the backend server next to the agent; empty when there is
	// none.
	Backend      string     `json:"backend,omitempty" validate:"omitempty,url"`
	Accelerators int        `json:"accelerators" validate:"gte=0,lte=64"`
	Cores        int        `json:"cores" validate:"gt=0"`
	Memory       shop.Bytes `json:"memory" validate:"gt=0"`
	// ProcessMemory is the memory that the agent itself may have; zero if it is not known.
	ProcessMemory shop.Bytes `json:"process-memory,omitempty" validate:"gte=0"`
	// Descriptors is the number of file descriptors that the agent may have; zero if it is not known.
	Descriptors int `json:"descriptors,omitempty" validate:"gte=0"`
}

// StandIn contains the settings of a stand-in: a process that simulates the platform,
// a worker or a backend server.
type StandIn struct {
	// Name is the name of the worker. Other stand-ins need none.
	Name string `json:"name,omitempty" validate:"omitempty,hostname_rfc1123"`
	// Listen is the TCP address for plain HTTP.
	Listen  string  `json:"listen" validate:"required,hostname_port"`
	Logging Logging `json:"logging"`
	// ServiceTime is the time that a request or an append takes.
	ServiceTime shop.Duration `json:"service-time,omitempty" validate:"gte=0"`
	// Slots is the number of requests that a backend server can run concurrently; zero
	// means any number.
	Slots int `json:"slots,omitempty" validate:"gte=0"`
	// TimeScale is the factor by which tasks run faster than declared; zero means that
	// they run as long as declared.
	TimeScale float64 `json:"time-scale,omitempty" validate:"gte=0"`
}

// Defaults of the settings.
const (
	DefaultLevel           = "info"
	DefaultFormat          = telemetry.LogJSON
	DefaultShutdownTimeout = shop.Duration(30 * time.Second)
)

// SetDefaults sets the level and the format when they are empty.
func (l *Logging) SetDefaults() {
	if l.Level == "" {
		l.Level = DefaultLevel
	}
	if l.Format == "" {
		l.Format = DefaultFormat
	}
}

// SetDefaults sets the defaults of the settings that are left out.
func (s *StandIn) SetDefaults() { s.Logging.SetDefaults() }

// SetDefaults sets the defaults of the settings that are left out.
func (p *Process) SetDefaults() {
	p.Logging.SetDefaults()
	if p.ShutdownTimeout == 0 {
		p.ShutdownTimeout = DefaultShutdownTimeout
	}
}
