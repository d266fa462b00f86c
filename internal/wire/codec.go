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
	// maxWaits bounds the requests for places under way on one connection,
	// maxCalls all calls, so that places can still be given back.
	maxWaits = 2048
	maxCalls = 2 * maxWaits

	acquireMethod = serviceName + ".Acquire"
	pingMethod    = linkName + ".Ping"
	busyMethod    = linkName + ".Busy"
)

// ErrBusy means that too many calls of this node are under way at the peer.
var ErrBusy = errors.New("the peer has too many calls of this node under way: use another node or come back later")

// ErrTooLarge means that a peer sent more than MaxMessageBytes at once.
var ErrTooLarge = errors.New("the message is larger than the protocol allows: run the same version on all nodes")

// boundedReader fails once a message is larger than MaxMessageBytes.
type boundedReader struct {
	r    io.Reader
	left int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// serverCodec is net/rpc's gob codec with bounds on the size of requests and
// on the number under way. Requests are read by one goroutine.
type serverCodec struct {
	calls   atomic.Int32
	refused bool // the request being read is one too many
	conn    io.ReadWriteCloser
	bound   *boundedReader
	dec     *gob.Decoder
	enc     *gob.Encoder
	buffer  *bufio.Writer
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

func newServerCodec(conn io.ReadWriteCloser) *serverCodec {
	bound := &boundedReader{r: conn, left: MaxMessageBytes}
	buffer := bufio.NewWriter(conn)
	return &serverCodec{conn: conn, bound: bound, dec: gob.NewDecoder(bufio.NewReader(bound)), enc: gob.NewEncoder(buffer), buffer: buffer}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.bound.left = MaxMessageBytes
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	calls := c.calls.Add(1)
	c.refused = r.ServiceMethod != pingMethod && (calls > maxCalls || calls > maxWaits && r.ServiceMethod == acquireMethod)
	if c.refused {
		r.ServiceMethod = busyMethod
	}
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	if c.refused {
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
