package clients

import "golang.org/x/sys/unix"

// hungUp reports whether the peer of a socket has closed its sending half or the connection, even while input is still unread.
func hungUp(descriptor uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}
