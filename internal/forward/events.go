package forward

import (
	"bytes"
	"io"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxEventBytes bounds one event of a stream; one of a few tokens takes some
	// hundred bytes.
	maxEventBytes = 256 << 10
	// maxIdleBytes bounds what a stream may send without content, such as
	// comments that keep a connection open.
	maxIdleBytes = 64 << 10
)

// errTornEvent means that a stream ended in the middle of an event.
var errTornEvent = errors.New("stream ended within an event")

// errNoContent means that a stream sends bytes but gets nowhere.
var errNoContent = errors.Errorf("stream sent %d bytes without content", maxIdleBytes)

// event is one whole event of a stream, as the server wrote it.
type event struct {
	raw []byte
	id  string
	// hasContent is false for comments and empty events.
	hasContent bool
}

// eventReader splits a stream into whole events.
type eventReader struct {
	src  io.Reader
	buf  []byte
	done int // bytes at the head of buf that were handed out
}

// next returns the next whole event; io.EOF means that the stream ended after
// one. The event is valid until the next call.
func (r *eventReader) next() (event, error) {
	r.buf = append(r.buf[:0], r.buf[r.done:]...)
	r.done = 0
	searched := 0
	for {
		if end := eventEnd(r.buf, searched); end > 0 {
			r.done = end
			return parseEvent(r.buf[:end]), nil
		}
		searched = max(len(r.buf)-3, 0)
		if len(r.buf) > maxEventBytes {
			return event{}, errors.Errorf("event is longer than %d bytes", maxEventBytes)
		}
		if err := r.fill(); err != nil {
			return event{}, err
		}
	}
}

func (r *eventReader) fill() error {
	const chunk = 4 << 10
	have := len(r.buf)
	r.buf = append(r.buf, make([]byte, chunk)...)
	n, err := r.src.Read(r.buf[have:])
	r.buf = r.buf[:have+n]
	if n > 0 {
		return nil
	}
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.buf)) > 0 {
		return errTornEvent
	}
	return err
}

// eventEnd returns the length of the first event with its blank line, or 0.
func eventEnd(b []byte, from int) int {
	for i := from; i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		switch {
		case i+1 < len(b) && b[i+1] == '\n':
			return i + 2
		case i+2 < len(b) && b[i+1] == '\r' && b[i+2] == '\n':
			return i + 3
		}
	}
	return 0
}

// parseEvent reads the fields of an event that matter here.
func parseEvent(raw []byte) event {
	e := event{raw: raw}
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = strings.TrimSpace(string(id))
		} else if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			e.hasContent = e.hasContent || len(bytes.TrimSpace(data)) > 0
		}
	}
	return e
}
