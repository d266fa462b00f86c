package forward

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/loop"
)

const (
	// defaultMemory is the memory of a VM in bytes if its settings name none: that of a
	// small one.
	defaultMemory = 96 << 20
	// heldShare is the share of a VM's memory that requests may hold together: their bodies,
	// and answers and events that are being read.
	heldShare = 0.5
	// serviceFactor and sourceFactor bound what one service holds, and of it one source, as
	// multiples of what is free. So some room is always left for others, and one service that
	// is alone may use four fifths.
	serviceFactor = 4
	sourceFactor  = 2
	// minHeldBuffer is the size of the first buffer of a body.
	minHeldBuffer = 1 << 10
	// maxRoomWait is how long a caller's body waits for room, and roomPoll how often it checks.
	maxRoomWait = time.Second
	roomPoll    = 20 * time.Millisecond
)

// errNoRoom means that the requests of the node, of a service or of one source hold as much
// memory as they may.
var errNoRoom = errors.New("requests hold as much memory as they may: try again later, or give the VM more memory")

// heldMemory bounds the bytes that a node holds for requests, and shares them between services
// and, within a service, between sources: backend servers for answers, organisations for
// bodies. It is safe for concurrent use.
type heldMemory struct {
	limit    int64
	mu       sync.Mutex
	total    int64                // guarded by mu
	services map[string]int64     // guarded by mu
	sources  map[heldSource]int64 // guarded by mu
}

// heldSource is a source of bytes within a service.
type heldSource struct{ service, name string }

// newHeldMemory returns the bound for a VM with the given memory in bytes, 0 if not known.
func newHeldMemory(memory int64) *heldMemory {
	if memory <= 0 {
		memory = defaultMemory
	}
	return &heldMemory{limit: int64(heldShare * float64(memory)), services: map[string]int64{}, sources: map[heldSource]int64{}}
}

// tryHold counts n more bytes. It returns false, and counts none, if there is no room.
func (h *heldMemory) tryHold(s heldSource, n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	free := h.limit - h.total - n
	if free < 0 || h.services[s.service]+n > serviceFactor*free || h.sources[s]+n > sourceFactor*free {
		return false
	}
	h.total += n
	h.services[s.service] += n
	h.sources[s] += n
	return true
}

// release counts n bytes less.
func (h *heldMemory) release(s heldSource, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total -= n
	if h.services[s.service] -= n; h.services[s.service] == 0 {
		delete(h.services, s.service)
	}
	if h.sources[s] -= n; h.sources[s] == 0 {
		delete(h.sources, s)
	}
}

// bytesHeld returns the bytes that all requests hold.
func (h *heldMemory) bytesHeld() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

// hold is what one reader holds of a source. It is used by one goroutine.
type hold struct {
	memory *heldMemory
	source heldSource
	bytes  int64
	// waits means that grow waits for room, for maxRoomWait at most.
	waits bool
}

// grow counts n more bytes. It returns errNoRoom if there is no room.
func (h *hold) grow(ctx context.Context, n int64) error {
	for end := time.Now().Add(maxRoomWait); !h.memory.tryHold(h.source, n); loop.Sleep(ctx, roomPoll) {
		if !h.waits || ctx.Err() != nil || time.Now().After(end) {
			return errNoRoom
		}
	}
	h.bytes += n
	return nil
}

// release gives back all bytes.
func (h *hold) release() {
	h.memory.release(h.source, h.bytes)
	h.bytes = 0
}

// readAll reads src to its end. length is the expected number of bytes, -1 if it is not known.
// The capacity of its buffer is counted.
func (h *hold) readAll(ctx context.Context, src io.Reader, length int64) ([]byte, error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size := max(2*int64(cap(buf)), minHeldBuffer)
			if length >= 0 && length+1 > int64(cap(buf)) {
				size = min(size, length+1) // one more to see the end
			}
			if err := h.grow(ctx, size); err != nil {
				return nil, err
			}
			old := int64(cap(buf))
			buf = append(make([]byte, 0, size), buf...)
			h.memory.release(h.source, old)
			h.bytes -= old
		}
		n, err := src.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
