package telemetry

import (
	"math/bits"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// linesPerSecond is the number of requests that a process logs in a second
// before ordinary ones are sampled. At half a kilobyte per line they take 25
// KB/s.
const linesPerSecond = 50

// RequestSampler limits the log lines of ordinary requests. It samples by a
// hash of the request ID, with shares that are powers of two, so that processes
// under similar load log the same requests. It is safe for concurrent use.
type RequestSampler struct {
	mu     sync.Mutex
	second int64 // guarded by mu
	count  int   // guarded by mu; requests in this second
	shift  int   // guarded by mu; one in 1<<shift requests is logged
}

// Sample reports whether the request with the given ID should be logged.
func (s *RequestSampler) Sample(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		s.shift = bits.Len(uint(s.count / linesPerSecond))
		s.second, s.count = second, 0
	}
	s.count++
	return xxhash.Sum64String(id)&(1<<s.shift-1) == 0
}
