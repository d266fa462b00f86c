package snapshot

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// seed is fixed so that CI gives the same result each time. steps makes sequences
// long enough for several take-overs.
const (
	seed  = "20261204"
	steps = "100"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.steps": steps} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const (
	kind   = "rollout/r"
	schema = 1
)

var ctx = context.Background()

// pausingPlatform calls before once, just before the next object is written. It
// simulates a writer that pauses there.
type pausingPlatform struct {
	*standin.Platform
	before func()
}

func (p *pausingPlatform) PutObject(ctx context.Context, name string, body []byte) error {
	if before := p.before; before != nil {
		p.before = nil
		before()
	}
	return p.Platform.PutObject(ctx, name, body)
}

// writerModel is a store with two writers that take over from each other, and the
// writes whose outcome the test knows.
type writerModel struct {
	platform  *pausingPlatform
	store     Store
	writers   [2]*Writer
	attempted int          // number of the last attempted write
	stored    int          // number of the last write known to be stored
	fenced    map[int]bool // writes refused because another writer took over
	current   int          // index of the writer that took over last, or noWriter
	violation string       // what a writer did against the rules
}

func newWriterModel() *writerModel {
	p := &pausingPlatform{Platform: standin.NewPlatform(standin.PlatformOptions{})}
	w := &writerModel{platform: p, store: Store{Table: p, Objects: p}, fenced: map[int]bool{}, current: noWriter}
	for i := range w.writers {
		w.writers[i] = w.store.NewWriter(kind, fmt.Sprint("process-", i))
	}
	return w
}

// noWriter means that no writer took over. maxTakeOvers bounds the take-overs by
// the other writer during one pause.
const (
	noWriter     = -1
	maxTakeOvers = 3
)

// takeOver lets a writer take over. After an error there is no known writer.
func (w *writerModel) takeOver(i int) (Content, error) {
	c, err := w.writers[i].TakeOver(ctx, schema)
	w.current = noWriter
	if err == nil {
		w.current = i
	}
	return c, err
}

// write writes a snapshot with the next number and records its outcome.
func (w *writerModel) write(i int) {
	w.attempted++
	number := w.attempted
	body, _ := json.Marshal(number)
	err := w.writers[i].Write(ctx, schema, body)
	switch {
	case err == nil && w.current != i:
		w.violation = fmt.Sprintf("writer %d stored write %d, the writer is %d", i, number, w.current)
	case err == nil:
		w.stored = number
	case errors.Is(err, ErrFenced):
		w.fenced[number] = true
	}
}

// writeNumber reads the number of a write from a snapshot; 0 if there is none.
func writeNumber(t *rapid.T, c Content, err error) int {
	if errors.Is(err, infra.ErrNotFound) || (err == nil && c.Body == nil) {
		return 0
	}
	n := 0
	if err != nil || json.Unmarshal(c.Body, &n) != nil {
		t.Fatalf("read %v: %v", c, err)
	}
	return n
}

// check reads the newest snapshot. It must be the last that was stored, or one
// attempted since whose outcome is unknown.
func (w *writerModel) check(t *rapid.T) {
	w.platform.Table.Faults.Set(standin.FaultState{})
	w.platform.ObjectFaults.Set(standin.FaultState{})
	if w.violation != "" {
		t.Fatal(w.violation)
	}
	c, err := w.store.Newest(ctx, kind, schema)
	if n := writeNumber(t, c, err); n < w.stored || n > w.attempted || w.fenced[n] {
		t.Fatalf("read write %d of %d; %d is the last stored, fenced %v", n, w.attempted, w.stored, w.fenced)
	}
}

// Two writers take over from each other, pause and resume. Calls fail before or
// after they take effect, also between the writes of the object and the head row.
// The newest snapshot is never older than one that was stored, never torn, and
// never one of a fenced writer.
func TestWritersTakeOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWriterModel()
		writer := rapid.IntRange(0, 1)
		faultAction := func(f *standin.Faults) func(*rapid.T) {
			return func(t *rapid.T) {
				f.Set(standin.FaultState{Stopped: rapid.Bool().Draw(t, "stopped"), LoseReplies: rapid.IntRange(0, 2).Draw(t, "lost")})
				w.write(writer.Draw(t, "writer"))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"take over": func(t *rapid.T) {
				c, err := w.takeOver(writer.Draw(t, "writer"))
				if n := writeNumber(t, c, err); err == nil && n < w.stored {
					t.Fatalf("took over with write %d, %d was stored", n, w.stored)
				}
			},
			"take over, reply lost": func(t *rapid.T) {
				w.platform.Table.Faults.Set(standin.FaultState{LoseReplies: 1})
				_, _ = w.takeOver(writer.Draw(t, "writer"))
			},
			"write":                      func(t *rapid.T) { w.write(writer.Draw(t, "writer")) },
			"write with table failing":   faultAction(w.platform.Table.Faults),
			"write with objects failing": faultAction(w.platform.ObjectFaults),
			"write after a pause": func(t *rapid.T) {
				i, takeOvers := writer.Draw(t, "writer"), rapid.IntRange(0, maxTakeOvers).Draw(t, "take-overs")
				w.platform.before = func() {
					for range takeOvers {
						_, _ = w.takeOver(1 - i)
						w.write(1 - i)
					}
				}
				w.write(i)
				w.platform.before = nil
			},
			"": w.check,
		})
	})
}

// A snapshot that is torn, corrupted, empty or replaced by an older one is skipped
// and the generation before it is used. With none left, Newest returns
// infra.ErrNotFound.
func TestOlderSnapshotIsUsed(t *testing.T) {
	overwrite := func(w *writerModel, object string, body []byte) { _ = w.platform.PutObject(ctx, object, body) }
	for _, c := range []struct {
		name    string
		corrupt func(w *writerModel, g generation, stored []byte) []byte
	}{
		{"torn", func(_ *writerModel, _ generation, stored []byte) []byte { return stored[:len(stored)-1] }},
		{"corrupted", func(_ *writerModel, _ generation, stored []byte) []byte {
			stored[len(stored)/2] ^= 1
			return stored
		}},
		{"empty", func(*writerModel, generation, []byte) []byte { return nil }},
		{"older", func(w *writerModel, _ generation, _ []byte) []byte {
			older, _ := w.platform.GetObject(ctx, w.writers[0].head.Newest[1].Object)
			return older
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWriterModel()
			_, err := w.takeOver(0)
			is.NoErr(err)
			for range keptGenerations {
				w.write(0)
			}
			for want := keptGenerations; want > 0; want-- {
				got, err := w.store.Newest(ctx, kind, schema)
				is.NoErr(err)
				is.Equal(string(got.Body), fmt.Sprint(want))
				g := w.writers[0].head.Newest[keptGenerations-want]
				stored, err := w.platform.GetObject(ctx, g.Object)
				is.NoErr(err)
				overwrite(w, g.Object, c.corrupt(w, g, append([]byte(nil), stored...)))
				if c.name == "older" {
					return
				}
			}
			_, err = w.store.Newest(ctx, kind, schema)
			is.True(errors.Is(err, infra.ErrNotFound))
		})
	}
}

// A snapshot of a newer schema is skipped, although its checksum is right.
func TestNewerSchemaIsSkipped(t *testing.T) {
	is := is.New(t)
	w := newWriterModel()
	_, err := w.takeOver(0)
	is.NoErr(err)
	w.write(0)
	is.NoErr(w.writers[0].Write(ctx, schema+1, json.RawMessage("2")))
	got, err := w.store.Newest(ctx, kind, schema)
	is.NoErr(err)
	is.Equal(string(got.Body), "1")
	got, err = w.store.Newest(ctx, kind, schema+1)
	is.NoErr(err)
	is.Equal(string(got.Body), "2")
	stored, err := Encode(Content{Kind: kind})
	is.NoErr(err)
	binary.BigEndian.PutUint16(stored[len(magic):], format+1)
	_, err = Decode(stored)
	is.True(errors.Is(err, ErrTorn)) // the checksum covers the format
}

// While the object store is unavailable a take-over fails, since an older snapshot
// must not be used as the newest.
func TestTakeOverFailsDuringOutage(t *testing.T) {
	is := is.New(t)
	w := newWriterModel()
	_, err := w.takeOver(0)
	is.NoErr(err)
	w.write(0)
	w.platform.ObjectFaults.Set(standin.FaultState{Stopped: true})
	_, err = w.writers[1].TakeOver(ctx, schema)
	is.True(errors.Is(err, infra.ErrUnavailable))
	is.True(!w.writers[1].IsCurrent())
}

// Decode returns an error for arbitrary bytes, or content that survives encoding.
func FuzzDecode(f *testing.F) {
	good, err := Encode(Content{Kind: kind, Schema: schema, Fence: 3, Generation: 7, Body: json.RawMessage(`{"a":1}`)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add([]byte(magic))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, stored []byte) {
		c, err := Decode(stored)
		if err != nil {
			return
		}
		again, err := Encode(c)
		if err != nil {
			t.Fatalf("decoded %v, which cannot be encoded: %v", c, err)
		}
		if got, err := Decode(again); err != nil || got.Kind != c.Kind || got.Generation != c.Generation {
			t.Fatalf("decoded %v as %v: %v", c, got, err)
		}
	})
}
