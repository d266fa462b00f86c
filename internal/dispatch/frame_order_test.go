package dispatch

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/backend"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// Guards against lost, repeated or misordered tokens. Frames that arrive late,
// twice, out of order or from another attempt give each token of the answer
// once, in order, and the answer ends only when it is complete.
func TestReordererReturnsTheWholeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := rapid.IntRange(0, 5).Draw(t, "offset")
		total := offset + rapid.IntRange(0, 20).Draw(t, "tokens")
		var sent []backend.Frame
		for i := offset; i < total; i++ {
			sent = append(sent, backend.Frame{Attempt: "mine", Offset: i, Text: fmt.Sprint(i)})
		}
		sent = append(sent, backend.Frame{Attempt: "mine", Offset: total, Final: true})
		whole := slices.Clone(sent)
		for range rapid.IntRange(0, 10).Draw(t, "extra") {
			extra := whole[rapid.IntRange(0, len(whole)-1).Draw(t, "doubled")]
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				extra.Attempt = "foreign"
				extra.Text = "foreign"
			case 1:
				extra = backend.Frame{Attempt: "mine", Offset: offset - 1, Text: "late"}
			}
			sent = append(sent, extra)
		}
		sent = rapid.Permutation(sent).Draw(t, "order")
		r := newFrameReorderer("mine", offset)
		var got []backend.Frame
		for _, f := range sent {
			ready, err := r.accept(f)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, ready...)
			if len(got) > 0 && got[len(got)-1].Final {
				break
			}
		}
		if !slices.Equal(got, whole) {
			t.Fatalf("got %v, want %v", got, whole)
		}
	})
}
