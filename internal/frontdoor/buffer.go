package frontdoor

import (
	"net"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// bufferFactor is how many times its size the kernel may hold in a receive buffer.
	bufferFactor = 2
	// wideShare is the divisor of a door's bytes for the largest receive buffer of a connection.
	wideShare = 128
	// calmShare is the divisor of a door's bytes up to which receive buffers are widened.
	calmShare = 2
)

// connectionCost returns what is held for a connection that sends no body.
func (d *Door) connectionCost() int64 {
	return connectionCost + bufferFactor*int64(d.Limits.ReceiveBuffer)
}

// limitQueue limits what the kernel holds for connections before they are admitted: their receive buffers, which they
// get from the listener, and the number of those that wait to be accepted.
func (d *Door) limitQueue(l net.Listener) {
	if d.Limits.ReceiveBuffer == 0 {
		return
	}
	err := control(l, func(fd int) error {
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, d.Limits.ReceiveBuffer); err != nil {
			return err
		}
		return syscall.Listen(fd, d.Limits.Connections)
	})
	if err != nil {
		d.Log.Warn().Err(err).Str("door", d.Name).Msg("Could not limit the queue of new connections.")
	}
}

// control calls f with the listener's socket.
func control(l net.Listener, f func(fd int) error) error {
	inner, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = f(int(fd)) }); err != nil {
		return err
	}
	return callErr
}

// checkQueue counts and tells that the queue of connections that wait to be accepted is full. Clients whose opening
// packet is dropped send it again after a second.
func (d *Door) checkQueue(l net.Listener) {
	if d.Limits.ReceiveBuffer == 0 {
		return
	}
	waiting := 0
	err := control(l, func(fd int) (err error) {
		waiting, err = queueLength(fd)
		return err
	})
	if err != nil || waiting < d.Limits.Connections {
		return
	}
	metrics.GetOrCreateCounter(`sniperill_frontdoor_queue_full_total{door="` + d.Name + `"}`).Inc()
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := time.Now(); now.Sub(d.queueReported) >= reportInterval {
		d.queueReported = now
		d.Log.Warn().Str("door", d.Name).Int("waiting", waiting).Int("limit", d.Limits.Connections).
			Msg("The queue of new connections is full.")
	}
}

// widen enlarges the connection's receive buffer for a body, so that it arrives in few round trips of a long link.
// It does nothing while others need the room. The buffer stays as it is until the connection ends, as the client may
// fill it at any time.
func (c *conn) widen(length int64) {
	d := c.door
	size := d.Limits.Bytes / wideShare
	if length >= 0 {
		size = min(size, length)
	}
	inner, ok := c.Conn.(*net.TCPConn)
	if !ok || d.Limits.ReceiveBuffer == 0 || size <= int64(d.Limits.ReceiveBuffer) {
		return
	}
	cost := bufferFactor * (size - int64(d.Limits.ReceiveBuffer))
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.gone || c.wide || d.bytes+cost > d.Limits.Bytes/calmShare {
		return
	}
	c.wide = true
	c.base += cost
	c.held += cost
	d.bytes += cost
	_ = inner.SetReadBuffer(int(size)) // It fails only if the connection is closed.
}
