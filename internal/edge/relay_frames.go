package edge

import (
	"encoding/binary"
	"io"
	"net"

	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/tcp"
)

// A framed relay passes on what a backend server sends in frames: a length of two bytes, big
// endian, and that many bytes. Two lengths are marks that say how the server's connection
// ended. The kernel closes the connections of a process that ends as regularly as those of a
// server whose answer is complete, so only a mark tells both apart.
const (
	frameHeaderBytes = 2
	// maxFrameBytes bounds the bytes of one frame, and what a relay buffers for a connection.
	maxFrameBytes = 16 << 10
	// endMark means that the server ended its connection regularly.
	endMark = 0
	// brokenMark means that the server's connection was reset or timed out, or that the
	// server has ended with it.
	brokenMark = 0xffff
)

// sendFrames passes on what a server sends, and then how its connection ended. It returns an
// error if the peer cannot be reached.
func sendFrames(peer io.Writer, server io.Reader, stillServes func() bool) error {
	frame := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, err := server.Read(frame[frameHeaderBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(frame, uint16(n))
			if _, err := peer.Write(frame[:frameHeaderBytes+n]); err != nil {
				return err
			}
		}
		if err != nil {
			mark := uint16(brokenMark)
			if err == io.EOF && stillServes() {
				mark = endMark
			}
			_, err = peer.Write(binary.BigEndian.AppendUint16(nil, mark))
			return err
		}
	}
}

// framedConn reads the frames of a relay. It returns io.EOF only after the server's own
// regular end.
type framedConn struct {
	net.Conn
	left int   // bytes of the current frame that were not read yet
	err  error // set once the connection has ended
}

// Read implements net.Conn.
func (c *framedConn) Read(p []byte) (int, error) {
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	if c.left == 0 {
		if c.err = c.nextFrame(); c.err != nil {
			return 0, c.err
		}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, lostIfEnded(err)
}

// nextFrame reads the header of the next frame.
func (c *framedConn) nextFrame() error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(c.Conn, header[:]); err != nil {
		return lostIfEnded(err)
	}
	switch n := binary.BigEndian.Uint16(header[:]); {
	case n == endMark:
		return io.EOF
	case n == brokenMark:
		return forward.ErrServerBrokeOff
	case n > maxFrameBytes:
		return forward.ErrRelayLost
	default:
		c.left = int(n)
		return nil
	}
}

// unframedConn is a connection through a node of a release without frames. Its end does not
// tell whether the server or the relay has ended, so it is never taken for a regular one.
type unframedConn struct{ net.Conn }

// Read implements net.Conn.
func (c unframedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, lostIfEnded(err)
}

// lostIfEnded turns the end or loss of a relay's connection into ErrRelayLost. A timeout that
// the reader has set, and its own close, pass unchanged.
func lostIfEnded(err error) error {
	if err == nil || tcp.IsLocalEnd(err) {
		return err
	}
	return forward.ErrRelayLost
}
