package telemetry

import (
	"bytes"
	"io"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// linesKept bounds the lines that wait for a slow reader; at 300 bytes each
	// they take about a megabyte.
	linesKept = 4096
	// linesReserved of these are for lines above the info level.
	linesReserved = 512
)

// LineWriter hands log lines to a writer without ever waiting for it: lines
// that find the buffer full are dropped and counted. It is safe for concurrent
// use.
type LineWriter struct {
	out     io.Writer
	dropped func()
	mu      sync.Mutex
	lines   [][]byte // guarded by mu
	ready   chan struct{}
	idle    *sync.Cond // on mu; signalled when all lines are written
	writing bool       // guarded by mu
}

// NewLineWriter returns a writer and starts its goroutine. dropped is called
// for each line that is not written.
func NewLineWriter(out io.Writer, dropped func()) *LineWriter {
	w := &LineWriter{out: out, dropped: dropped, ready: make(chan struct{}, 1)}
	w.idle = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write implements io.Writer.
func (w *LineWriter) Write(line []byte) (int, error) { return w.put(line, linesKept) }

// put keeps a line if fewer than most wait.
func (w *LineWriter) put(line []byte, most int) (int, error) {
	w.mu.Lock()
	full := len(w.lines) >= most
	if !full {
		w.lines = append(w.lines, bytes.Clone(line))
	}
	w.mu.Unlock()
	if full {
		w.dropped()
		return len(line), nil
	}
	select {
	case w.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync waits until all lines are written.
func (w *LineWriter) Sync() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.lines) > 0 || w.writing {
		w.idle.Wait()
	}
	return nil
}

func (w *LineWriter) run() {
	for range w.ready {
		w.mu.Lock()
		batch := bytes.Join(w.lines, nil)
		w.lines, w.writing = nil, true
		w.mu.Unlock()
		_, _ = w.out.Write(batch)
		w.mu.Lock()
		w.writing = false
		w.idle.Broadcast()
		w.mu.Unlock()
	}
}

// ordinary is the part of a LineWriter that lines of the info level and below
// may fill.
type ordinary struct{ *LineWriter }

// Write implements io.Writer.
func (o ordinary) Write(line []byte) (int, error) { return o.put(line, linesKept-linesReserved) }

// NewLineLogger returns a JSON logger on w. Warnings and errors have room of
// their own in its buffer.
func NewLineLogger(w *LineWriter, node string) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(c)
	low := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l == zapcore.InfoLevel })
	high := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l > zapcore.InfoLevel })
	core := zapcore.NewTee(zapcore.NewCore(encoder, ordinary{w}, low), zapcore.NewCore(encoder, w, high))
	return zap.New(core).With(zap.String("node", node))
}

// Cause is the field of an error's message, without the stack that pkg/errors
// adds; nothing for nil.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
