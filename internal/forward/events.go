package forward

import (
	"bytes"
	"io"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxEventBytes bounds one event of a stream. An event of a few tokens
	// takes some hundred bytes.
	maxEventBytes = 256 << 10
	// maxBytesWithoutContent bounds the bytes that a stream may send without
	// content, such as comments that keep a connection open.
	maxBytesWithoutContent = 64 << 10
)

// errTruncatedEvent means that a stream ended in the middle of an event.
var errTruncatedEvent = errors.New("stream ended within an event")

// errNoContent means that a stream sent too many bytes without content.
var errNoContent = errors.Errorf("stream sent %d bytes without content", maxBytesWithoutContent)

// errNotEvent means that a stream sent text that is no event, such as the text
// or the head of an error.
var errNotEvent = errors.New("stream sent text that is not an event")

// event is one complete event of a stream in its original bytes.
type event struct {
	raw []byte
	id  string
	// hasContent is false for comments and empty events.
	hasContent bool
}

// eventReader splits a stream into complete events.
type eventReader struct {
	src io.Reader
	// hold counts n more bytes of the buffer, or fails if there is no room.
	hold     func(n int64) error
	buf      []byte
	consumed int // bytes at the start of buf that were returned
}

// next returns the next complete event. It returns io.EOF if the stream ended
// after a complete event. The event is valid until the next call.
func (r *eventReader) next() (event, error) {
	r.buf = append(r.buf[:0], r.buf[r.consumed:]...)
	r.consumed = 0
	searched := 0
	for {
		if end := eventEnd(r.buf, searched); end > 0 {
			r.consumed = end
			return parseEvent(r.buf[:end])
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

// fill reads more bytes into buf.
func (r *eventReader) fill() error {
	const chunk = 4 << 10
	length := len(r.buf)
	if need := length + chunk; need > cap(r.buf) {
		size := max(2*cap(r.buf), need)
		if err := r.hold(int64(size - cap(r.buf))); err != nil {
			return err
		}
		r.buf = append(make([]byte, 0, size), r.buf...)
	}
	r.buf = r.buf[:length+chunk]
	n, err := r.src.Read(r.buf[length:])
	r.buf = r.buf[:length+n]
	if n > 0 {
		return nil
	}
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.buf)) > 0 {
		return errTruncatedEvent
	}
	return err
}

// eventEnd returns the length of the first event including its blank line, or 0
// if b holds no complete event. It searches from index from.
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

// parseEvent extracts the ID of an event and whether it has content. It returns
// errNotEvent for text that is not in the format of events.
func parseEvent(raw []byte) (event, error) {
	e := event{raw: raw}
	hasData, hasExtension := false, false
	for line := range bytes.SplitSeq(bytes.TrimPrefix(raw, byteOrderMark), []byte("\n")) {
		name, value, hasValue := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		switch {
		case len(name) == 0, string(name) == "event", string(name) == "retry": // a blank line, a comment, or no part of the content
		case string(name) == "id":
			e.id = strings.TrimSpace(string(value))
		case string(name) == "data":
			hasData = true
			e.hasContent = e.hasContent || len(bytes.TrimSpace(value)) > 0
		case hasValue && isFieldName(name):
			hasExtension = true
		default:
			return event{}, errNotEvent
		}
	}
	// Servers add fields of their own to events with data. Alone, such a field is
	// a line of another format.
	if hasExtension && !hasData {
		return event{}, errNotEvent
	}
	return e, nil
}

// byteOrderMark may precede the first event of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// isFieldName reports whether name has the form of the name of a field.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
