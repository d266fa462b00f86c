package gossip

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// minPackSize is the size in bytes from which a row is sent compressed; a
	// configuration shrinks to a sixth.
	minPackSize = 2 << 10
	// minBundleSize is the size in bytes of the rows of an answer that are not compressed
	// yet from which all are compressed together. A table of 3,000 servers shrinks to a sixth.
	minBundleSize = 16 << 10
	// maxUnpackedSize bounds the size of a decompressed row or bundle in bytes.
	maxUnpackedSize = 16 << 20
)

// compressors holds unused compressors: each has buffers of several hundred kilobytes.
var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// deflate compresses data.
func deflate(data []byte) ([]byte, error) {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var b bytes.Buffer
	w.Reset(&b)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// inflate reverses deflate. Data of more than maxUnpackedSize is an error.
func inflate(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedSize+1))
	if err == nil && len(data) > maxUnpackedSize {
		return nil, errors.Errorf("more than %d bytes: store smaller rows", maxUnpackedSize)
	}
	return data, err
}

// packedData is the compressed data of a row, made once for all nodes that it is sent to.
type packedData struct {
	once  sync.Once
	bytes atomic.Pointer[[]byte] // nil before the first use, and if the data cannot be compressed
}

// get returns the compressed form of data.
func (p *packedData) get(data []byte) []byte {
	p.once.Do(func() {
		if p.bytes.Load() != nil {
			return
		}
		if packed, err := deflate(data); err == nil {
			p.bytes.Store(&packed)
		}
	})
	if packed := p.bytes.Load(); packed != nil {
		return *packed
	}
	return nil
}

// PackedSize returns the size in bytes of a row's data when it is sent.
func PackedSize(data []byte) int {
	if len(data) < minPackSize {
		return len(data)
	}
	if packed, err := deflate(data); err == nil {
		return len(packed)
	}
	return len(data)
}

// pack compresses large rows for sending. It replaces the elements of rows; the
// original data bytes are not modified.
func pack(rows []Row) []Row {
	for i, r := range rows {
		if len(r.Data) < minPackSize || r.Packed {
			continue
		}
		if r.packed == nil {
			r.packed = &packedData{}
		}
		if packed := r.packed.get(r.Data); packed != nil {
			rows[i].Data, rows[i].Packed = packed, true
		}
	}
	return rows
}

// unpack reverses pack. The compressed data is kept for sending.
func unpack(rows []Row) ([]Row, error) {
	for i, r := range rows {
		if !r.Packed {
			continue
		}
		packed := r.Data
		data, err := inflate(packed)
		if err != nil {
			return nil, errors.Wrapf(err, "row %s/%s", r.Table, r.Key)
		}
		rows[i].Data, rows[i].Packed, rows[i].packed = data, false, &packedData{}
		rows[i].packed.bytes.Store(&packed)
	}
	return rows, nil
}

// bundle returns packed rows compressed together, or nil if they are few or cannot be
// compressed.
func bundle(rows []Row) []byte {
	size := 0
	for _, r := range rows {
		if !r.Packed {
			size += r.size()
		}
	}
	if size < minBundleSize {
		return nil
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(rows); err != nil {
		return nil
	}
	packed, err := deflate(b.Bytes())
	if err != nil {
		return nil
	}
	return packed
}

// unbundle reverses bundle.
func unbundle(packed []byte) ([]Row, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	raw, err := inflate(packed)
	if err != nil {
		return nil, errors.Wrap(err, "inflate rows")
	}
	var rows []Row
	return rows, errors.Wrap(gob.NewDecoder(bytes.NewReader(raw)).Decode(&rows), "decode rows")
}
