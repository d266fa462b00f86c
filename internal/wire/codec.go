package wire

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"

	"github.com/pkg/errors"
)

// MaxMessageBytes bounds one request of a peer.
const MaxMessageBytes = 16 << 20

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

// serverCodec is net/rpc's gob codec with a bound on the size of requests.
type serverCodec struct {
	conn   io.ReadWriteCloser
	bound  *boundedReader
	dec    *gob.Decoder
	enc    *gob.Encoder
	buffer *bufio.Writer
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
	return c.dec.Decode(r)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
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
