package telemetry

import (
	"bytes"
	"io"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxBufferedLines bounds the lines that wait for a slow reader. At 300
	// bytes per line they take about a megabyte.
	maxBufferedLines = 4096
	// reservedLines of these are reserved for lines above the info level.
	reservedLines = 512
)

// LineWriter passes log lines to a writer without blocking the caller. Lines
// that find the buffer full are dropped and counted. It is safe for concurrent
// use.
type LineWriter struct {
	out       io.Writer
	dropped   func()
	mu        sync.Mutex
	lines     [][]byte // guarded by mu
	ready     chan struct{}
	idle      *sync.Cond // on mu; signalled when all lines are written
	isWriting bool       // guarded by mu
}

// NewLineWriter returns a LineWriter and starts its goroutine. It calls dropped
// for each line that is dropped.
func NewLineWriter(out io.Writer, dropped func()) *LineWriter {
	w := &LineWriter{out: out, dropped: dropped, ready: make(chan struct{}, 1)}
	w.idle = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write implements io.Writer.
func (w *LineWriter) Write(line []byte) (int, error) { return w.enqueue(line, maxBufferedLines) }

// enqueue buffers a line if fewer than limit lines are waiting.
func (w *LineWriter) enqueue(line []byte, limit int) (int, error) {
	w.mu.Lock()
	isFull := len(w.lines) >= limit
	if !isFull {
		w.lines = append(w.lines, bytes.Clone(line))
	}
	w.mu.Unlock()
	if isFull {
		w.dropped()
		return len(line), nil
	}
	select {
	case w.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync blocks until all lines are written.
func (w *LineWriter) Sync() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.lines) > 0 || w.isWriting {
		w.idle.Wait()
	}
	return nil
}

func (w *LineWriter) run() {
	for range w.ready {
		w.mu.Lock()
		batch := bytes.Join(w.lines, nil)
		w.lines, w.isWriting = nil, true
		w.mu.Unlock()
		_, _ = w.out.Write(batch)
		w.mu.Lock()
		w.isWriting = false
		w.idle.Broadcast()
		w.mu.Unlock()
	}
}

// infoWriter writes lines of the info level and below. It leaves the reserved
// lines of the buffer free.
type infoWriter struct{ *LineWriter }

// Write implements io.Writer.
func (w infoWriter) Write(line []byte) (int, error) {
	return w.enqueue(line, maxBufferedLines-reservedLines)
}

// NewLineLogger returns a logger that writes JSON to w. Warnings and errors
// have reserved space in the buffer.
func NewLineLogger(w *LineWriter, node string) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(c)
	infoLevel := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l == zapcore.InfoLevel })
	aboveInfo := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l > zapcore.InfoLevel })
	core := zapcore.NewTee(zapcore.NewCore(encoder, infoWriter{w}, infoLevel), zapcore.NewCore(encoder, w, aboveInfo))
	return zap.New(core).With(zap.String("node", node))
}

// ErrorField returns a log field with the message of an error, without the stack
// trace that pkg/errors adds. For nil it returns an empty field.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
