package wire

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"reflect"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// MaxMessageBytes bounds one request of a peer.
	MaxMessageBytes = 16 << 20
	// maxAcquires bounds the requests for slots in progress on one connection.
	// maxCalls bounds all calls; it is larger, so that slots can still be
	// released when maxAcquires is reached.
	maxAcquires = 2048
	maxCalls    = 2 * maxAcquires

	acquireMethod = serviceName + ".Acquire"
	pingMethod    = linkName + ".Ping"
	busyMethod    = linkName + ".Busy"
)

// ErrBusy means that too many calls of this node are in progress at the peer.
// Its text is part of the protocol: callers recognise the error by it.
var ErrBusy = errors.New("the peer has too many calls of this node under way: use another node or come back later")

// ErrTooLarge means that a peer sent a request above MaxMessageBytes.
var ErrTooLarge = errors.New("the message is larger than the protocol allows: run the same version on all nodes")

// boundedReader returns ErrTooLarge once more than the remaining number of bytes
// is read.
type boundedReader struct {
	r         io.Reader
	remaining int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, ErrTooLarge
	}
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

// serverCodec is net/rpc's gob codec with bounds on the size of a request and on
// the number of calls in progress. One goroutine reads the requests.
type serverCodec struct {
	calls       atomic.Int32
	isOverLimit bool // the request being read exceeds a limit on calls
	conn        io.ReadWriteCloser
	reader      *boundedReader
	dec         *gob.Decoder
	enc         *gob.Encoder
	buffer      *bufio.Writer
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

// newServerCodec returns a codec for one connection of a peer.
func newServerCodec(conn io.ReadWriteCloser) *serverCodec {
	reader := &boundedReader{r: conn, remaining: MaxMessageBytes}
	buffer := bufio.NewWriter(conn)
	return &serverCodec{conn: conn, reader: reader, dec: gob.NewDecoder(bufio.NewReader(reader)), enc: gob.NewEncoder(buffer), buffer: buffer}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.reader.remaining = MaxMessageBytes
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	calls := c.calls.Add(1)
	c.isOverLimit = r.ServiceMethod != pingMethod && (calls > maxCalls || calls > maxAcquires && r.ServiceMethod == acquireMethod)
	if c.isOverLimit {
		r.ServiceMethod = busyMethod
	}
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	if c.isOverLimit {
		return c.dec.DecodeValue(reflect.Value{})
	}
	return c.dec.Decode(body)
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	c.calls.Add(-1)
	if err := c.enc.Encode(r); err != nil {
		c.conn.Close()
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		c.conn.Close()
		return err
	}
	return c.buffer.Flush()
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }
