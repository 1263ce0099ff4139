package frontdoor

import "golang.org/x/sys/unix"

// queueLength returns the number of connections that wait to be accepted from a listening socket.
func queueLength(fd int) (int, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return int(info.Unacked), nil
}
