package frontdoor

import "runtime/debug"

// Machine is what a process may have of its machine. Zero means that a value is not known.
type Machine struct {
	MemoryMB int
	// Descriptors is the number of file descriptors, those for files included.
	Descriptors int
}

// Limits bound what a process holds for its clients.
type Limits struct {
	// Connections is the largest number of open connections.
	Connections int
	// Bytes is the most memory for connections, heads and bodies under way.
	Bytes int64
	// ReceiveBuffer is the size of the receive buffer of a connection that sends no body, in bytes; zero if the
	// system chooses it. It also bounds the queue of connections that wait to be accepted by Connections.
	ReceiveBuffer int
	// PeerCalls is the largest number of calls to the system's other processes that clients cause at the same time.
	PeerCalls int
	// RuntimeBytes is the limit for the runtime's memory; zero if there is none.
	RuntimeBytes int64
}

// Shares of a machine, and what is taken if it is not known.
const (
	// fileDescriptors are those of a machine that are for files, by the platform's pages.
	fileDescriptors = 200
	// connectionShare is the divisor of the other descriptors for clients, peerShare that for connections of the
	// system's other processes, and again for calls to them. The rest is for checks, the store and workers.
	connectionShare = 3
	peerShare       = 6
	// byteShare is the divisor of the memory for what is held for clients.
	byteShare = 4
	// peerByteShare is the divisor of the memory for what is held for calls of the system's other processes.
	peerByteShare = 8
	// receiveBuffer holds the head of a usual request.
	receiveBuffer = 8 << 10
	// runtimeShare is the divisor of the memory for the runtime. The rest is for the program itself and for what
	// the kernel holds for connections.
	runtimeShare = 2

	unknownConnections = 16_384
	unknownPeerCalls   = 4096
	unknownBytes       = 1 << 30
)

// Limits returns the limits on the machine.
func (m Machine) Limits() Limits {
	l := Limits{Connections: unknownConnections, Bytes: unknownBytes, PeerCalls: unknownPeerCalls}
	if m.Descriptors > 0 {
		sockets := m.Descriptors - fileDescriptors
		l.Connections, l.PeerCalls = max(1, sockets/connectionShare), max(1, sockets/peerShare)
	}
	if memory := int64(m.MemoryMB) << 20; memory > 0 {
		l.Bytes, l.RuntimeBytes, l.ReceiveBuffer = memory/byteShare, memory/runtimeShare, receiveBuffer
	}
	return l
}

// LimitMemory limits the memory of the process's runtime if that of the machine is known.
func (m Machine) LimitMemory() {
	if n := m.Limits().RuntimeBytes; n > 0 {
		debug.SetMemoryLimit(n)
	}
}

// For readiness checks and reads of metrics. Who checks has a connection for each, or opens one a second.
const (
	checkConnections = 64
	checkBytes       = 4 << 20
)

// CheckLimits returns the limits of a port for readiness checks and reads of metrics.
func (m Machine) CheckLimits() Limits {
	l := m.Limits()
	return Limits{
		Connections: min(checkConnections, l.Connections), Bytes: min(checkBytes, l.Bytes), ReceiveBuffer: l.ReceiveBuffer,
	}
}

// PeerLimits returns the limits of a port for the system's own processes.
func (m Machine) PeerLimits() Limits {
	l := m.Limits()
	l.RuntimeBytes = 0
	if m.Descriptors > 0 {
		l.Connections = max(1, (m.Descriptors-fileDescriptors)/peerShare)
	}
	if m.MemoryMB > 0 {
		l.Bytes = int64(m.MemoryMB) << 20 / peerByteShare
	}
	return l
}
