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

// newCascadeHarness returns a harness whose stream route has three models, a
// target of 1.1 s and the given longest pause. Its servers answer with a low
// confidence, and call before with the number of requests first.
func newCascadeHarness(t *testing.T, pause time.Duration, before func(b *harness, sent int)) *harness {
	b := newHarness(t)
	var err error
	b.table, err = route.NewTable(route.Definition{
		Routes: []route.Route{{Name: "chat", Host: "h", Prefix: "/chat/", Kind: route.Stream, Resumable: true, Sticky: true, MaxAttempts: 3, Rank: 4, Timeout: 20 * time.Second,
			Target: 1100 * time.Millisecond, MaxPause: pause, Models: []string{"small", "middle", "large"}, Backends: []route.Backend{{Service: "s", Weight: 1}}}},
		Services: []route.Service{{Name: "s", Models: []route.Model{{Name: "small", Cost: 0.019}, {Name: "middle", Cost: 0.15}, {Name: "large", Cost: 0.29}}}},
	})
	is.New(t).NoErr(err)
	sent := 0
	for _, id := range []string{"x", "y", "z"} {
		b.server(id, func(c net.Conn, r *http.Request) {
			sent++
			before(b, sent)
			writeStreamHeader(c, r, 5)
			writeEvents(c, 1, 2, time.Millisecond)
			writeLastChunk(c)
		})
	}
	return b
}

func doNothing(*harness, int) {}

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

// Guards against a poor answer where the largest model, which takes 1.2 s to read
// the prompt, would be late: the middle model is asked, and its answer is weighed
// again. The log and the metrics must tell the decisions.
func TestMiddleModelAnswersInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newCascadeHarness(t, time.Second, doNothing)
		core, logs := observer.New(zap.InfoLevel)
		b.f.opts.Log = zap.New(core)
		is.Equal(b.modelsAsked(), "small middle")
		time.Sleep(time.Second)
		steps := logs.FilterMessage("request").All()[0].ContextMap()["steps"].([]step)
		is.Equal(len(steps), 2)
		is.Equal(steps[0].Next, "middle")
		is.Equal(*steps[0].Chance, 0.995)
		is.True(*steps[0].Bar > 0.3 && *steps[0].Bar < 0.5)
		is.Equal(steps[1].Next, "")
		for _, labels := range [][]string{{"4", "small", "dropped"}, {"4", "middle", "accepted"}} {
			var m dto.Metric
			is.NoErr(b.f.opts.Metrics.Answers.WithLabelValues(labels...).Write(&m))
			is.Equal(m.GetCounter().GetValue(), 1.0)
		}
	})
}

// Guards against a middle model in an earlier deployment: there only the largest
// is asked, and not if it would be late.
func TestEarlierDeploymentAsksNoMiddleModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is.New(t).Equal(newCascadeHarness(t, 2*time.Second, doNothing).modelsAsked(), "small")
	})
}

// Guards against a middle model's answer that is kept although it is poor and
// time is left for the largest, and against a step
// that takes the last attempt, which is kept for a failure.
func TestPoorAnswerOfMiddleModelIsWeighedAgain(t *testing.T) {
	for _, c := range []struct {
		attempts int
		want     string
	}{{4, "small middle large"}, {3, "small middle"}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newCascadeHarness(t, time.Second, func(b *harness, sent int) {
				if sent == 2 { // the largest model would now be in time
					b.f.readSpeeds.mu.Lock()
					b.f.readSpeeds.models["large"] = readSpeed{perToken: time.Microsecond, samples: 1}
					b.f.readSpeeds.mu.Unlock()
				}
			})
			r, _ := b.table.Match("h", "/chat/1")
			r.MaxAttempts = c.attempts
			is.Equal(b.modelsAsked(), c.want)
		})
	}
}
