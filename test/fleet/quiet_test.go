package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/embedded"
	"github.com/cowslipfall/cowslipfall/internal/gateway"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// closesAt returns daily quiet hours of the given length that begin after d.
func closesAt(d, length time.Duration, h config.QuietHours) config.QuietHours {
	from := time.Now().UTC().Add(d).Truncate(time.Minute)
	h.Zone = "UTC"
	h.From = from.Format("15:04")
	h.To = from.Add(length).Format("15:04")
	h.Margin = config.Duration(config.DefaultQuietMargin)
	return h
}

// window returns the moments between which nothing may run, clock error
// included.
func window(h config.QuietHours) (from, to time.Time) {
	day := time.Now().UTC().Truncate(24 * time.Hour)
	read := func(text string) time.Time {
		at, _ := time.Parse("15:04", text)
		return day.Add(time.Duration(at.Hour())*time.Hour + time.Duration(at.Minute())*time.Minute)
	}
	return read(h.From).Add(-config.DefaultQuietMargin), read(h.To).Add(config.DefaultQuietMargin)
}

// completionText returns the answer's text and version.
func completionText(a answer) (text, model string) {
	var c struct {
		Model   string `json:"model"`
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(a.body), &c) != nil || len(c.Choices) == 0 {
		return a.body, ""
	}
	return c.Choices[0].Message.Content, c.Model
}

// undisturbed returns what a version answers to a chat that nothing disturbs.
func (w *world) undisturbed(organisation, text string, tokens int, model string) string {
	return w.answerOf(organisation, text, tokens, model, embedded.Qualities(w.config))
}

// answerOf is the same where versions have other than the configured quality.
func (w *world) answerOf(organisation, text string, tokens int, model string, quality map[config.Target]float64) string {
	t := config.ParseTarget(model)
	prompt := "user: " + text + "\n"
	return standin.Answer(t, quality[t], prompt, gateway.Fingerprint(organisation, prompt), tokens)
}

// Quiet hours begin in one data centre under load. Answers that run there move
// elsewhere and stay whole; nothing starts or runs inside, neither at engines
// nor at plain services; afterwards the data centre is used again.
func TestQuietHoursBeginUnderLoad(t *testing.T) {
	virtual(t, func(f *faults) {
		hours := closesAt(3*time.Minute, 5*time.Minute, config.QuietHours{DataCentres: []string{"hml-1"}})
		w := newWorld(f, worldOptions{services: 3, engine: standin.EngineOptions{BaseInterval: 400 * time.Millisecond}, edit: func(c *config.Config) {
			c.QuietHours = map[string]*config.QuietHours{"q": &hours}
		}})
		defer w.close()
		from, to := window(hours)
		engine, service := w.dialer.engines["engine-3"], w.dialer.services["service-3"]
		var wg sync.WaitGroup
		send := func(i int, tokens int) {
			wg.Go(func() {
				text := fmt.Sprintf("rota %d", i)
				got := w.post("entry-3", org, chatPath, chatBody(text, tokens), map[string]string{"X-Deadline-Ms": "600000"})
				answered, model := completionText(got)
				f.check(got.status == http.StatusOK, "chat %d: %+v", i, got)
				f.check(answered == w.undisturbed(org, text, tokens, model), "chat %d is not whole: %q", i, answered)
			})
			wg.Go(func() {
				got := w.post("entry-3", org, "/v1/services/kirjauspalvelu/timetable", `{}`, nil)
				f.check(got.status == http.StatusOK, "call %d: %+v", i, got)
			})
		}
		w.sleep(time.Until(from) - 35*time.Second)
		for i := range 12 {
			send(i, 200)
		}
		w.sleep(5 * time.Second)
		f.check(load(f, engine) > 0, "no stream ran where the quiet hours begin")
		w.sleep(time.Until(from))
		for i := 100; time.Now().Before(to); i++ {
			send(i, 8)
			w.sleep(time.Second)
			f.check(load(f, engine) == 0 || !time.Now().Before(to), "%d streams run inside quiet hours", load(f, engine))
		}
		wg.Wait()
		for i := 1000; i < 1030; i++ {
			send(i, 8)
		}
		wg.Wait()
		after := 0
		for _, run := range engine.Runs() {
			f.check(run.At.Before(from) || !run.At.Before(to), "an answer began at %s, inside %s to %s", run.At, from, to)
			if !run.At.Before(to) {
				after++
			}
		}
		for _, call := range service.Calls() {
			f.check(call.At.Before(from) || !call.At.Before(to), "a call began at %s, inside %s to %s", call.At, from, to)
		}
		f.check(after > 0, "the data centre is not used after quiet hours")
	})
}

func load(f *faults, e *standin.Engine) int {
	report, err := e.Load(context.Background())
	f.check(err == nil, "load: %v", err)
	return report.Running
}

// Where quiet hours leave no place at all, the refusal comes at once, says that
// nothing ran and when to come back; a window of another organisation closes
// nothing; a call that may not be repeated is not sent shortly before.
func TestQuietHoursRefuse(t *testing.T) {
	virtual(t, func(f *faults) {
		hours := closesAt(2*time.Minute, 30*time.Minute, config.QuietHours{Organisations: []string{org}})
		w := newWorld(f, worldOptions{edit: func(c *config.Config) {
			c.QuietHours = map[string]*config.QuietHours{"q": &hours}
		}})
		defer w.close()
		from, to := window(hours)
		w.sleep(time.Until(from) - 10*time.Second)
		early := w.post("entry-1", org, confirmPath, `{}`, map[string]string{"Idempotency-Key": "seat-1"})
		f.check(early.status == http.StatusServiceUnavailable, "a confirmation just before quiet hours: %+v", early)
		w.sleep(time.Until(from) + time.Second)
		for _, path := range []string{chatPath, confirmPath, "/v1/services/kirjauspalvelu/timetable"} {
			start := time.Now()
			got := w.post("entry-1", org, path, chatBody("hello", 20), map[string]string{"Idempotency-Key": "seat-2"})
			f.check(time.Since(start) < time.Second, "the refusal was held back for %s", time.Since(start))
			f.check(strings.Contains(got.body, `"quiet_hours"`) && strings.Contains(got.body, `"ran":"no"`), "%s: %+v", path, got)
			seconds, _ := strconv.Atoi(got.header.Get("Retry-After"))
			back := time.Now().Add(time.Duration(seconds) * time.Second)
			f.check(!back.Before(to) && back.Before(to.Add(2*time.Second)), "%s: come back at %s, quiet hours end at %s", path, back, to)
		}
		other := w.post("entry-1", "museobussit", chatPath, chatBody("hello", 20), nil)
		f.check(other.status == http.StatusOK, "another organisation: %+v", other)
		f.check(len(w.calls()) == 0, "calls ran: %v", w.calls())
		w.sleep(time.Until(to) + time.Second)
		again := w.post("entry-1", org, confirmPath, `{}`, map[string]string{"Idempotency-Key": "seat-1"})
		f.check(again.status == http.StatusOK, "after quiet hours: %+v", again)
	})
}

// Quiet hours that come into force by a new revision stop what runs already
// and what waits in a queue; with no other place a begun answer ends with the
// reason.
func TestQuietHoursByNewRevision(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{nodes: 1, engine: standin.EngineOptions{BaseInterval: 400 * time.Millisecond}, edit: func(c *config.Config) {
			c.Pools["mallipalvelin"].Slots = 1
		}})
		defer w.close()
		const requests = 8
		got := make(chan answer, requests)
		for i := range requests {
			go func() {
				body := strings.Replace(chatBody(fmt.Sprint("long ", i), 400), "{", `{"stream":true,`, 1)
				got <- w.post("entry-1", org, chatPath, body, map[string]string{"X-Deadline-Ms": "600000"})
			}()
		}
		w.sleep(10*time.Second + time.Millisecond)
		hours := closesAt(-time.Minute, time.Hour, config.QuietHours{Models: []string{"kuski", "emanta"}})
		rev := w.apply("quiet now", func(r *config.Revision) {
			next := *w.config
			next.QuietHours = map[string]*config.QuietHours{"q": &hours}
			r.Config = &next
		})
		before := time.Now()
		for w.nodes["entry-1"].node.Status().Revision.Number < rev.Number {
			before = time.Now()
			w.sleep(10 * time.Millisecond)
		}
		w.sleep(time.Second)
		for _, e := range w.dialer.engines {
			f.check(load(f, e) == 0, "a stream runs inside quiet hours")
			for _, run := range e.Runs() {
				f.check(!run.At.After(before), "an answer began at %s, quiet hours were in force after %s", run.At, before)
			}
		}
		begun := 0
		for range requests {
			end := <-got
			f.check(strings.Contains(end.body, `"quiet_hours"`), "the answer ended with %q", end.body)
			f.check(!strings.Contains(end.body, "[DONE]"), "a cut answer looks whole")
			if end.status == http.StatusOK {
				begun++
				f.check(strings.Contains(end.body, `"ran":"yes"`), "a begun answer ended with %q", end.body)
			}
		}
		f.check(begun > 0 && begun < requests, "%d of %d answers had begun", begun, requests)
	})
}
