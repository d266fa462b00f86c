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

// ErrStranger means that the peer does not know the shared secret.
var ErrStranger = errors.New("the peer does not know the inner secret: set the same inner_secret on all nodes")

// challenge makes a connecting peer prove that it knows the secret, and
// proves the same to it. The nonces tell the versions of the protocol.
func challenge(conn net.Conn, secret []byte, own Versions) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	nonce := newNonce(own)
	if _, err := conn.Write(nonce); err != nil {
		return errors.Wrap(err, "send challenge")
	}
	answer := make([]byte, sha256.Size+nonceBytes)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return errors.Wrap(err, "read answer")
	}
	if subtle.ConstantTimeCompare(answer[:sha256.Size], sum(secret, "client", nonce)) != 1 {
		return ErrStranger
	}
	if _, err := conn.Write(sum(secret, "server", answer[sha256.Size:])); err != nil {
		return errors.Wrap(err, "send proof")
	}
	if err := own.check(versionsOf(answer[sha256.Size:])); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// respond answers a server's challenge and checks its proof.
func respond(conn net.Conn, secret []byte, versions Versions) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, nonce); err != nil {
		return errors.Wrap(ErrPeer, err.Error())
	}
	own := newNonce(versions)
	if _, err := conn.Write(append(sum(secret, "client", nonce), own...)); err != nil {
		return errors.Wrap(ErrPeer, err.Error())
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return errors.Wrap(ErrStranger, err.Error())
	}
	if subtle.ConstantTimeCompare(proof, sum(secret, "server", own)) != 1 {
		return ErrStranger
	}
	if err := versions.check(versionsOf(nonce)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

func sum(secret []byte, role string, nonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role))
	mac.Write(nonce)
	return mac.Sum(nil)
}
