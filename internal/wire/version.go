package wire

import (
	"bytes"
	"crypto/rand"
	"fmt"
)

// Versions are the versions of the inner protocol that a program speaks.
//
// Within the versions of one range, messages only gain fields and calls: a
// receiver ignores fields that it does not know, a missing one has its zero
// value, which must mean what it meant before, and an unknown call is answered
// with ErrUnsupported. Anything else raises Oldest, one release after Newest
// was raised.
type Versions struct {
	Oldest, Newest uint8
}

// Spoken are the versions of this program. Version 1 told no versions;
// version 2 added Adopt.
var Spoken = Versions{Oldest: 1, Newest: 2}

// versionMark begins a nonce that tells versions. The nonces of version 1 are
// random.
var versionMark = []byte("cwf\xf1\x9d")

// newNonce returns a random nonce that tells the versions.
func newNonce(v Versions) []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	n := copy(nonce, versionMark)
	nonce[n] = v.Oldest
	nonce[n+1] = v.Newest
	return nonce
}

// versionsOf reads the versions that a nonce tells.
func versionsOf(nonce []byte) Versions {
	if !bytes.HasPrefix(nonce, versionMark) {
		return Versions{Oldest: 1, Newest: 1}
	}
	n := len(versionMark)
	return Versions{Oldest: nonce[n], Newest: nonce[n+1]}
}

// check returns a VersionError unless there is a version that both speak.
func (v Versions) check(peer Versions) error {
	if v.Oldest <= peer.Newest && peer.Oldest <= v.Newest {
		return nil
	}
	return &VersionError{Own: v, Peer: peer}
}

// VersionError means that a peer's program is too old or too new for this one.
type VersionError struct {
	Own, Peer Versions
}

// Error implements error.
func (e *VersionError) Error() string {
	which := "the peer"
	if e.Own.Newest < e.Peer.Oldest {
		which = "this node"
	}
	return fmt.Sprintf("the peer speaks versions %d to %d of the inner protocol, this node %d to %d: upgrade %s to a release between the two first, see operators/upgrade.md",
		e.Peer.Oldest, e.Peer.Newest, e.Own.Oldest, e.Own.Newest, which)
}
