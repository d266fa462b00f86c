package telemetry

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

// A reader of standard output that stops must not slow requests down. Lines
// beyond the buffer are dropped and counted, and warnings have reserved space.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	var dropped atomic.Int32
	w := NewLineWriter(out, func() { dropped.Add(1) })
	log := NewLineLogger(w, "n1")
	start := time.Now()
	for range 2 * maxBufferedLines {
		log.Info("request", zap.Int("status", 200))
	}
	for range reservedLines / 2 {
		log.Warn("store lost")
	}
	is.True(time.Since(start) < 10*time.Second) // no log call waited for the writer
	is.True(dropped.Load() > 0)
	close(out.release)
	is.NoErr(w.Sync())
	out.mu.Lock()
	defer out.mu.Unlock()
	is.Equal(strings.Count(out.out.String(), "store lost"), reservedLines/2) // no warning was dropped
}

// Under load, processes must log the same requests, and the number of lines
// must stay bounded.
func TestProcessesSampleTheSameRequests(t *testing.T) {
	is := is.New(t)
	var a, b RequestSampler
	kept := 0
	for second := range 5 {
		now := time.Unix(int64(100+second), 0)
		for i := range 1000 {
			id := strconv.Itoa(second*1000 + i)
			isKeptByA, isKeptByB := a.Sample(id, now), b.Sample(id, now)
			is.Equal(isKeptByA, isKeptByB)
			if isKeptByA && second > 0 {
				kept++
			}
		}
	}
	is.True(kept/4 <= 2*linesPerSecond)
	is.True(kept > 0)
}

func BenchmarkRequestLine(b *testing.B) {
	w := NewLineWriter(&bytes.Buffer{}, func() {})
	log := NewLineLogger(w, "n1")
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request", zap.String("request", "9c41d07be2a35f68"), zap.String("route", "r"), zap.Int("status", 200), zap.Int64("ms", 120), zap.String("outcome", "answered"))
	}
}
