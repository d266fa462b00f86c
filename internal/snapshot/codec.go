// Package snapshot stores soft state in the platform's object store, as versioned
// and checksummed snapshots of bounded size. A head row in the table lists the
// newest generations of each kind. Each kind has one writer at a time: the one
// whose fencing number the head row holds. A snapshot may be lost, but a reader
// never gets one that is torn, belongs to another kind or was written by a
// fenced writer.
package snapshot

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const (
	// MaxBytes bounds a stored snapshot, MaxUnpackedBytes its uncompressed
	// content.
	MaxBytes         = 1 << 20
	MaxUnpackedBytes = 16 << 20
	// format is the version of the layout below.
	format = 1
	magic  = "cfsnap"
	// A stored snapshot consists of magic, the format as two big-endian bytes,
	// the content's JSON compressed with gzip, and the SHA-256 sum of all
	// preceding bytes.
	headerBytes = len(magic) + 2
)

// Errors of snapshots that cannot be used; an older generation may be usable.
var (
	// ErrTorn means that bytes are missing or changed.
	ErrTorn = errors.New("the snapshot is torn or corrupted: an older one is used")
	// ErrMismatch means that the kind, generation or fencing number differs from
	// that in the head row.
	ErrMismatch = errors.New("the snapshot does not match the head row: an older one is used")
	// ErrNewerProgram means that a newer program wrote it.
	ErrNewerProgram = errors.New("the snapshot was written by a newer program: run the same version on all nodes")
	// ErrTooLarge means that it exceeds MaxBytes or MaxUnpackedBytes.
	ErrTooLarge = errors.New("the snapshot is larger than allowed: store less state")
)

// Content is the content of a snapshot.
type Content struct {
	// Kind names the state, such as "rollout/kuski-v2".
	Kind string `json:"kind"`
	// Schema is the version of Body's layout.
	Schema int `json:"schema"`
	// Fence is the writer's fencing number. Generation increases with each
	// snapshot of the kind.
	Fence      uint64 `json:"fence"`
	Generation uint64 `json:"generation"`
	// Body is the state.
	Body json.RawMessage `json:"body"`
}

// Encode returns the stored form of c, or ErrTooLarge.
func Encode(c Content) ([]byte, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if len(raw) > MaxUnpackedBytes {
		return nil, ErrTooLarge
	}
	var b bytes.Buffer
	b.WriteString(magic)
	b.Write(binary.BigEndian.AppendUint16(nil, format))
	w := gzip.NewWriter(&b)
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	sum := sha256.Sum256(b.Bytes())
	b.Write(sum[:])
	if b.Len() > MaxBytes {
		return nil, ErrTooLarge
	}
	return b.Bytes(), nil
}

// Decode reads the stored form. It returns ErrTorn, ErrNewerProgram or ErrTooLarge if it
// cannot be used.
func Decode(stored []byte) (Content, error) {
	if len(stored) > MaxBytes {
		return Content{}, ErrTooLarge
	}
	end := len(stored) - sha256.Size
	if end < headerBytes || string(stored[:len(magic)]) != magic {
		return Content{}, ErrTorn
	}
	if sum := sha256.Sum256(stored[:end]); !bytes.Equal(sum[:], stored[end:]) {
		return Content{}, ErrTorn
	}
	if binary.BigEndian.Uint16(stored[len(magic):headerBytes]) > format {
		return Content{}, ErrNewerProgram
	}
	return decodeContent(stored[headerBytes:end])
}

// decodeContent uncompresses and decodes the content of a snapshot.
func decodeContent(compressed []byte) (Content, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return Content{}, ErrTorn
	}
	raw, err := io.ReadAll(io.LimitReader(r, MaxUnpackedBytes+1))
	if err != nil {
		return Content{}, ErrTorn
	}
	if len(raw) > MaxUnpackedBytes {
		return Content{}, ErrTooLarge
	}
	var c Content
	if json.Unmarshal(raw, &c) != nil {
		return Content{}, ErrTorn
	}
	return c, nil
}
