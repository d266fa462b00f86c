package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	nonceBytes       = 32
	handshakeTimeout = 2 * time.Second
)

// ErrUnauthenticated means that the peer failed authentication: it does not know
// the shared secret or presented no certificate.
var ErrUnauthenticated = errors.New("the peer does not know the inner secret: set the same inner_secret on all nodes")

// challenge authenticates a connecting peer: the peer proves that it knows the
// secret, and then this side proves the same. The nonces carry the protocol
// versions of both sides. It returns ErrUnauthenticated for a wrong proof and a
// *VersionError if the versions do not overlap.
func challenge(conn net.Conn, secret []byte, local Versions) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	nonce := newNonce(local)
	if _, err := conn.Write(nonce); err != nil {
		return errors.Wrap(err, "send challenge")
	}
	answer := make([]byte, sha256.Size+nonceBytes)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return errors.Wrap(err, "read answer")
	}
	if subtle.ConstantTimeCompare(answer[:sha256.Size], computeProof(secret, "client", nonce)) != 1 {
		return ErrUnauthenticated
	}
	if _, err := conn.Write(computeProof(secret, "server", answer[sha256.Size:])); err != nil {
		return errors.Wrap(err, "send proof")
	}
	if err := local.check(versionsOf(answer[sha256.Size:])); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// respond answers a server's challenge and checks the server's proof. Its errors
// are those of challenge, and ErrPeerUnreachable if the connection fails before
// the answer is sent.
func respond(conn net.Conn, secret []byte, local Versions) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, nonce); err != nil {
		return errors.Wrap(ErrPeerUnreachable, err.Error())
	}
	localNonce := newNonce(local)
	if _, err := conn.Write(append(computeProof(secret, "client", nonce), localNonce...)); err != nil {
		return errors.Wrap(ErrPeerUnreachable, err.Error())
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return errors.Wrap(ErrUnauthenticated, err.Error())
	}
	if subtle.ConstantTimeCompare(proof, computeProof(secret, "server", localNonce)) != 1 {
		return ErrUnauthenticated
	}
	if err := local.check(versionsOf(nonce)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// computeProof returns the proof of a role, "client" or "server": an HMAC over the
// role's name and the other side's nonce.
func computeProof(secret []byte, role string, nonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role))
	mac.Write(nonce)
	return mac.Sum(nil)
}
