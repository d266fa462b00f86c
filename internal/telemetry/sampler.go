package telemetry

import (
	"math/bits"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// linesPerSecond is how many requests of one process are logged in a second
// before ordinary ones are sampled; at half a kilobyte each they take 25 KB/s.
const linesPerSecond = 50

// RequestSampler bounds the lines of ordinary requests. It decides by the
// request's identity, with shares that are powers of two, so that processes
// under like load log the same requests. It is safe for concurrent use.
type RequestSampler struct {
	mu     sync.Mutex
	second int64 // guarded by mu
	count  int   // guarded by mu; in this second
	shift  int   // guarded by mu; one in 1<<shift is kept
}

// Keep tells whether a request with the given identity is logged.
func (s *RequestSampler) Keep(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		s.shift = bits.Len(uint(s.count / linesPerSecond))
		s.second, s.count = second, 0
	}
	s.count++
	return xxhash.Sum64String(id)&(1<<s.shift-1) == 0
}
