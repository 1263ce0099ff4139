package shop

import "strconv"

// BackendServer configures the backend server on a worker, which runs the requests of
// some classes.
type BackendServer struct {
	// Name is the worker that the backend server runs on, or "*" for every worker.
	Name    string   `json:"name"`
	Classes []string `json:"classes"`
	// Slots is the maximum number of requests that run at once.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections; at least Slots.
	Connections int `json:"connections"`
}

// Defaults of a backend server.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
)

// SetDefaults sets the fields that are zero to their defaults.
func (b *BackendServer) SetDefaults() {
	if b.Slots == 0 {
		b.Slots = DefaultSlots
	}
	if b.Connections == 0 {
		b.Connections = DefaultConnections
	}
}

// Validate returns the invalid fields of the backend server.
func (b BackendServer) Validate() ProblemList {
	var l ProblemList
	if b.Name != "*" {
		l.Under("name", validateName(b.Name))
	}
	if len(b.Classes) == 0 {
		l.Add("classes", "[]", "must name a class")
	}
	if b.Slots < 1 {
		l.Add("slots", strconv.Itoa(b.Slots), "must be above zero")
	}
	if b.Connections < b.Slots {
		l.Add("connections", strconv.Itoa(b.Connections), "must not be below slots")
	}
	return l
}

// BackendServerList holds the backend servers of a configuration, sorted by name.
type BackendServerList []BackendServer
