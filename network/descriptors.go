package network

import (
	"math"

	"golang.org/x/sys/unix"
)

// reservedDescriptors are for files, listeners, and calls to the store and to peers.
const reservedDescriptors = 200

// MaxConns returns the most connections that a process may accept: the number that its settings
// name or, if that is 0, half of the descriptors that it may open, since each request may need
// another connection to an endpoint.
func MaxConns(named int64) int {
	if named > 0 {
		return int(named)
	}
	var li unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &li); err != nil || li.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return max(1, (int(li.Cur)-reservedDescriptors)/2)
}
