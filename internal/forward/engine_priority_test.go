package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against short prompts that engines read behind long ones, where streams may pause for a
// second at most, and against a change for other services, which send the rank.
func TestEnginesReadShortPromptsFirst(t *testing.T) {
	for _, c := range []struct {
		name   string
		pause  time.Duration
		tokens string
		want   string
	}{
		{"short", time.Second, "400,40", "0"},
		{"long", time.Second, "20000,40", "6"}, // 1.2 s: 25 ms doubled six times
		{"short, long pauses allowed", 1001 * time.Millisecond, "400,40", "4"},
		{"long, long pauses allowed", 1001 * time.Millisecond, "20000,40", "4"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, b := is.New(t), newCascadeHarness(t, c.pause, 1, 0)
				_, _, err := b.send(t.Context(), http.MethodPost, "/chat/1", map[string]string{"T-Model": AnyModel, "T-Tokens": c.tokens, "T-Prompt": "a:100,b:300"})
				is.NoErr(err)
				is.Equal(b.receivedRequests()[0].Header.Get("T-Priority"), c.want)
			})
		})
	}
}
