package wire

import (
	"bytes"
	"crypto/rand"
	"fmt"
)

// Versions is the range of versions of the inner protocol that a program
// supports.
//
// Within a range, changes to the protocol only add fields and calls. A receiver
// ignores unknown fields. A missing field has its zero value, which must keep its
// earlier meaning. An unknown call is answered with ErrUnsupported. Any other
// change raises Oldest, one release after it raised Newest.
type Versions struct {
	Oldest, Newest uint8
}

// SupportedVersions is the range that this program supports. Version 1 sent no
// versions in its nonces; version 2 added Adopt.
var SupportedVersions = Versions{Oldest: 1, Newest: 2}

// versionMark is the prefix of a nonce that carries versions. The nonces of
// version 1 are random.
var versionMark = []byte("cwf\xf1\x9d")

// newNonce returns a random nonce that carries the versions.
func newNonce(v Versions) []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	n := copy(nonce, versionMark)
	nonce[n] = v.Oldest
	nonce[n+1] = v.Newest
	return nonce
}

// versionsOf decodes the versions that a nonce carries.
func versionsOf(nonce []byte) Versions {
	if !bytes.HasPrefix(nonce, versionMark) {
		return Versions{Oldest: 1, Newest: 1}
	}
	n := len(versionMark)
	return Versions{Oldest: nonce[n], Newest: nonce[n+1]}
}

// check returns a *VersionError unless both ranges share a version.
func (v Versions) check(peer Versions) error {
	if v.Oldest <= peer.Newest && peer.Oldest <= v.Newest {
		return nil
	}
	return &VersionError{Local: v, Peer: peer}
}

// VersionError means that the peer and this node support no common version.
type VersionError struct {
	Local, Peer Versions
}

// Error implements error.
func (e *VersionError) Error() string {
	outdated := "the peer"
	if e.Local.Newest < e.Peer.Oldest {
		outdated = "this node"
	}
	return fmt.Sprintf("the peer supports versions %d to %d of the inner protocol, this node %d to %d: upgrade %s to a release between the two first, see operators/upgrade.md",
		e.Peer.Oldest, e.Peer.Newest, e.Local.Oldest, e.Local.Newest, outdated)
}
