// Package snapshot keeps learned soft state in the platform's object store, as
// versioned, checksummed and bounded generations named by a head row of the
// table. There is one writer of each kind at a time: the one whose fencing
// number the head row holds. What a snapshot holds may be lost; it is never
// torn, foreign or of a paused former writer.
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
	// MaxBytes bounds a stored snapshot, MaxUnpackedBytes its content.
	MaxBytes         = 1 << 20
	MaxUnpackedBytes = 16 << 20
	// format is the number of the layout below.
	format = 1
	magic  = "cfsnap"
	// A stored snapshot is: magic, the format in two bytes, the content's JSON
	// compressed by gzip, and the SHA-256 sum of all before it.
	headerBytes = len(magic) + 2
)

// Errors of snapshots that cannot be used; an older one may.
var (
	// ErrTorn means that bytes are missing or changed.
	ErrTorn = errors.New("the snapshot is torn or corrupted: an older one is used")
	// ErrForeign means that it is of another kind or writer than asked for.
	ErrForeign = errors.New("the snapshot is not the one named by the head row: an older one is used")
	// ErrNewer means that a newer program wrote it.
	ErrNewer = errors.New("the snapshot was written by a newer program: run the same version on all nodes")
	// ErrTooLarge means that it is larger than MaxBytes or MaxUnpackedBytes.
	ErrTooLarge = errors.New("the snapshot is larger than allowed: learn less")
)

// Content is what a snapshot holds.
type Content struct {
	// Kind names what was learned, such as "rollout/kuski-v2".
	Kind string `json:"kind"`
	// Schema is the version of Body's layout.
	Schema int `json:"schema"`
	// Fence is the writer's fencing number, Generation rises with each
	// snapshot of the kind.
	Fence      uint64 `json:"fence"`
	Generation uint64 `json:"generation"`
	// Body is what was learned.
	Body json.RawMessage `json:"body"`
}

// Encode returns the stored form. It returns ErrTooLarge if it is too large.
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

// Decode reads the stored form. It returns ErrTorn, ErrNewer or ErrTooLarge.
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
		return Content{}, ErrNewer
	}
	return unpack(stored[headerBytes:end])
}

func unpack(packed []byte) (Content, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
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
