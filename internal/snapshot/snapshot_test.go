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

// seed is pinned so that CI gives the same verdict each time; steps make
// sequences long enough for writers to take over several times.
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

// pausing runs something just before the next object is put.
type pausing struct {
	*standin.Platform
	before func()
}

func (p *pausing) PutObject(ctx context.Context, name string, body []byte) error {
	if before := p.before; before != nil {
		p.before = nil
		before()
	}
	return p.Platform.PutObject(ctx, name, body)
}

// writing is a store with two writers that take over from each other while
// calls fail and replies are lost.
type writing struct {
	platform *pausing
	store    Store
	writers  [2]*Writer
	tries    int          // number of the last write that was tried
	stored   int          // number of the last write known to be stored
	fenced   map[int]bool // writes refused, as another writer took over
	owner    int          // who took over last, or nobody
	broken   string       // what a writer did that it must not
}

func newWriting() *writing {
	p := &pausing{Platform: standin.NewPlatform(standin.PlatformOptions{})}
	w := &writing{platform: p, store: Store{Table: p, Objects: p}, fenced: map[int]bool{}, owner: nobody}
	for i := range w.writers {
		w.writers[i] = w.store.NewWriter(kind, fmt.Sprint("process-", i))
	}
	return w
}

// nobody holds the snapshots; mostTakeOvers is how often a writer is overtaken
// while it pauses.
const (
	nobody        = -1
	mostTakeOvers = 3
)

// takeOver lets a writer take over; one whose reply is lost leaves nobody.
func (w *writing) takeOver(i int) (Content, error) {
	c, err := w.writers[i].TakeOver(ctx, schema)
	w.owner = nobody
	if err == nil {
		w.owner = i
	}
	return c, err
}

func (w *writing) write(i int) {
	w.tries++
	number := w.tries
	body, _ := json.Marshal(number)
	err := w.writers[i].Write(ctx, schema, body)
	switch {
	case err == nil && w.owner != i:
		w.broken = fmt.Sprintf("writer %d stored write %d, the writer is %d", i, number, w.owner)
	case err == nil:
		w.stored = number
	case errors.Is(err, ErrFenced):
		w.fenced[number] = true
	}
}

// number reads the number of a write out of a snapshot.
func number(t *rapid.T, c Content, err error) int {
	if errors.Is(err, infra.ErrNotFound) || (err == nil && c.Body == nil) {
		return 0
	}
	n := 0
	if err != nil || json.Unmarshal(c.Body, &n) != nil {
		t.Fatalf("read %v: %v", c, err)
	}
	return n
}

// check reads the newest snapshot: it is the last that was stored, or one
// tried since whose outcome is not known.
func (w *writing) check(t *rapid.T) {
	w.platform.Table.Faults.Set(standin.FaultState{})
	w.platform.ObjectFaults.Set(standin.FaultState{})
	if w.broken != "" {
		t.Fatal(w.broken)
	}
	c, err := w.store.Newest(ctx, kind, schema)
	if n := number(t, c, err); n < w.stored || n > w.tries || w.fenced[n] {
		t.Fatalf("read write %d of %d; %d is the last stored, fenced %v", n, w.tries, w.stored, w.fenced)
	}
}

// Two writers take over from each other, pause, and go on; calls fail before
// or after their effect, between the object and the head row too. The newest
// snapshot is never older than one that was stored, never torn, and never that
// of a writer that was fenced.
func TestWriters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWriting()
		writer := rapid.IntRange(0, 1)
		fault := func(f *standin.Faults) func(*rapid.T) {
			return func(t *rapid.T) {
				f.Set(standin.FaultState{Stopped: rapid.Bool().Draw(t, "stopped"), LoseReplies: rapid.IntRange(0, 2).Draw(t, "lost")})
				w.write(writer.Draw(t, "writer"))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"take over": func(t *rapid.T) {
				c, err := w.takeOver(writer.Draw(t, "writer"))
				if n := number(t, c, err); err == nil && n < w.stored {
					t.Fatalf("took over with write %d, %d was stored", n, w.stored)
				}
			},
			"take over, reply lost": func(t *rapid.T) {
				w.platform.Table.Faults.Set(standin.FaultState{LoseReplies: 1})
				_, _ = w.takeOver(writer.Draw(t, "writer"))
			},
			"write":                      func(t *rapid.T) { w.write(writer.Draw(t, "writer")) },
			"write with table failing":   fault(w.platform.Table.Faults),
			"write with objects failing": fault(w.platform.ObjectFaults),
			"write after a pause": func(t *rapid.T) {
				i, takeOvers := writer.Draw(t, "writer"), rapid.IntRange(0, mostTakeOvers).Draw(t, "take-overs")
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

// A snapshot that is torn, missing, foreign or of a newer program is passed
// over for the one before it; with none left there is none.
func TestOlderIsUsed(t *testing.T) {
	put := func(w *writing, object string, body []byte) { _ = w.platform.PutObject(ctx, object, body) }
	for _, c := range []struct {
		name  string
		spoil func(w *writing, g generation, stored []byte) []byte
	}{
		{"torn", func(_ *writing, _ generation, stored []byte) []byte { return stored[:len(stored)-1] }},
		{"corrupted", func(_ *writing, _ generation, stored []byte) []byte {
			stored[len(stored)/2] ^= 1
			return stored
		}},
		{"empty", func(*writing, generation, []byte) []byte { return nil }},
		{"older", func(w *writing, _ generation, _ []byte) []byte {
			older, _ := w.platform.GetObject(ctx, w.writers[0].head.Newest[1].Object)
			return older
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWriting()
			_, err := w.takeOver(0)
			is.NoErr(err)
			for range keep {
				w.write(0)
			}
			for want := keep; want > 0; want-- {
				got, err := w.store.Newest(ctx, kind, schema)
				is.NoErr(err)
				is.Equal(string(got.Body), fmt.Sprint(want))
				g := w.writers[0].head.Newest[keep-want]
				stored, err := w.platform.GetObject(ctx, g.Object)
				is.NoErr(err)
				put(w, g.Object, c.spoil(w, g, append([]byte(nil), stored...)))
				if c.name == "older" {
					return
				}
			}
			_, err = w.store.Newest(ctx, kind, schema)
			is.True(errors.Is(err, infra.ErrNotFound))
		})
	}
}

// A snapshot of a newer layout is passed over, also where its sum is right.
func TestNewerIsPassedOver(t *testing.T) {
	is := is.New(t)
	w := newWriting()
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
	is.True(errors.Is(err, ErrTorn)) // the sum covers the format
}

// With the object store away nothing is taken over; an older snapshot is not
// taken for the newest.
func TestOutageIsAnError(t *testing.T) {
	is := is.New(t)
	w := newWriting()
	_, err := w.takeOver(0)
	is.NoErr(err)
	w.write(0)
	w.platform.ObjectFaults.Set(standin.FaultState{Stopped: true})
	_, err = w.writers[1].TakeOver(ctx, schema)
	is.True(errors.Is(err, infra.ErrUnavailable))
	is.True(!w.writers[1].Held())
}

// What is decoded is bounded and whole, whatever comes.
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
