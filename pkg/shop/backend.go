package shop

import "strconv"

// BackendServer serves the requests of some classes on one worker's executor.
type BackendServer struct {
	// Name of the worker that the executor runs on, or "*" for all.
	Name    string   `json:"name"`
	Classes []string `json:"classes"`
	// Slots bounds the requests that run at once.
	Slots int `json:"slots"`
	// Connections bounds the open connections.
	Connections int `json:"connections"`
}

// Defaults of a backend server.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
)

// SetDefaults fills in what was left out.
func (b *BackendServer) SetDefaults() {
	if b.Slots == 0 {
		b.Slots = DefaultSlots
	}
	if b.Connections == 0 {
		b.Connections = DefaultConnections
	}
}

// Validate lists what is wrong with the backend server.
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

// BackendServerList is the backend servers of a configuration, sorted by name.
type BackendServerList []BackendServer
