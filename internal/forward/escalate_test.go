package forward

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	dto "github.com/prometheus/client_model/go"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cowslipfall/cowslipfall/internal/route"
)

// newCascadeHarness returns a harness whose stream route has three models and a
// target of 1.1 s. Its servers answer with a low confidence. The largest model,
// which takes 1.2 s to read the prompt, is fast from the request of the given
// number on.
func newCascadeHarness(t *testing.T, pause time.Duration, attempts, fastFrom int) *harness {
	b := newHarness(t)
	var err error
	b.table, err = route.NewTable(route.Definition{
		Routes: []route.Route{{Name: "chat", Host: "h", Prefix: "/chat/", Kind: route.Stream, Resumable: true, Sticky: true, MaxAttempts: attempts, Rank: 4, Timeout: 20 * time.Second,
			Target: 1100 * time.Millisecond, MaxPause: pause, Models: []string{"small", "middle", "large"}, Backends: []route.Backend{{Service: "s", Weight: 1}}}},
		Services: []route.Service{{Name: "s", Models: []route.Model{{Name: "small", Cost: 0.019}, {Name: "middle", Cost: 0.15}, {Name: "large", Cost: 0.29}}}},
	})
	is.New(t).NoErr(err)
	for _, id := range []string{"x", "y", "z"} {
		b.server(id, func(c net.Conn, r *http.Request) {
			if len(b.receivedRequests()) == fastFrom {
				for range 500 {
					b.f.readSpeeds.observe("large", 20000, fixedLatency)
				}
			}
			writeStreamHeader(c, r, 5)
			writeEvents(c, 1, 2, time.Millisecond)
			writeLastChunk(c)
		})
	}
	return b
}

// modelsAsked sends a prompt of 20,000 tokens and returns the models that were asked.
func (b *harness) modelsAsked() string {
	_, body, err := b.send(b.t.Context(), http.MethodPost, "/chat/1", map[string]string{"T-Model": AnyModel, "T-Tokens": "20000,400", "T-Prompt": "a:100,b:19900"})
	is := is.New(b.t)
	is.NoErr(err)
	is.Equal(eventIDs(body), "1 2")
	var models []string
	for _, r := range b.receivedRequests() {
		models = append(models, r.Header.Get("T-Model"))
	}
	return strings.Join(models, " ")
}

// Guards against a poor answer where the largest model would be late but the
// middle model is not; against a poor answer of the middle model that is kept
// although time is left, and one that takes the last attempt, which is kept for a
// failure; and against a middle model in earlier deployments (longer pauses).
func TestMiddleModelIsAskedThroughTheForwarder(t *testing.T) {
	for _, c := range []struct {
		pause              time.Duration
		attempts, fastFrom int
		want               string
	}{
		{time.Second, 4, 9, "small middle"}, {time.Second, 4, 2, "small middle large"}, {time.Second, 3, 2, "small middle"},
		{2 * time.Second, 4, 9, "small"},
	} {
		synctest.Test(t, func(t *testing.T) {
			is.New(t).Equal(newCascadeHarness(t, c.pause, c.attempts, c.fastFrom).modelsAsked(), c.want)
		})
	}
}

// Guards against decisions that an operator cannot see: the log names chance, threshold
// and model, the metric counts by rank, model and result.
func TestEscalationIsLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newCascadeHarness(t, time.Second, 3, 9)
		core, logs := observer.New(zap.InfoLevel)
		b.f.opts.Log = zap.New(core)
		b.modelsAsked()
		time.Sleep(time.Second)
		steps := logs.FilterMessage("request").All()[0].ContextMap()["steps"].([]step)
		is.Equal(len(steps), 2)
		is.Equal([]string{steps[0].Next, steps[1].Next}, []string{"middle", ""})
		is.Equal(*steps[0].Chance, 0.995)
		is.True(*steps[0].Threshold > 0.3 && *steps[0].Threshold < 0.5)
		for _, labels := range [][]string{{"4", "small", "dropped"}, {"4", "middle", "accepted"}} {
			var m dto.Metric
			is.NoErr(b.f.opts.Metrics.Answers.WithLabelValues(labels...).Write(&m))
			is.Equal(m.GetCounter().GetValue(), 1.0)
		}
	})
}
