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

// dailyQuietHours returns daily quiet hours of the given length that begin after d.
func dailyQuietHours(d, length time.Duration, h config.QuietHours) config.QuietHours {
	from := time.Now().UTC().Add(d).Truncate(time.Minute)
	h.Zone = "UTC"
	h.From = from.Format("15:04")
	h.To = from.Add(length).Format("15:04")
	h.Margin = config.Duration(config.DefaultQuietMargin)
	return h
}

// quietWindow returns the times between which nothing may run, including the margin for
// clock error.
func quietWindow(h config.QuietHours) (from, to time.Time) {
	day := time.Now().UTC().Truncate(24 * time.Hour)
	timeToday := func(text string) time.Time {
		at, _ := time.Parse("15:04", text)
		return day.Add(time.Duration(at.Hour())*time.Hour + time.Duration(at.Minute())*time.Minute)
	}
	return timeToday(h.From).Add(-config.DefaultQuietMargin), timeToday(h.To).Add(config.DefaultQuietMargin)
}

// completionText returns the text and the version of an answer.
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

// expectedAnswer returns a version's undisturbed answer to a chat.
func (sim *simulation) expectedAnswer(organisation, text string, tokens int, model string) string {
	return sim.expectedAnswerAtQuality(organisation, text, tokens, model, embedded.Qualities(sim.config))
}

// expectedAnswerAtQuality is expectedAnswer for versions whose quality differs from the
// configured one.
func (sim *simulation) expectedAnswerAtQuality(organisation, text string, tokens int, model string, quality map[config.Target]float64) string {
	t := config.ParseTarget(model)
	prompt := "user: " + text + "\n"
	return standin.Answer(t, quality[t], prompt, gateway.Fingerprint(organisation, prompt), tokens)
}

// Quiet hours begin in one data centre under load. Answers that run there move to other
// data centres and stay complete. Nothing starts or runs there during quiet hours,
// neither at engines nor at plain services; afterwards the data centre is used again.
func TestQuietHoursBeginUnderLoad(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		hours := dailyQuietHours(3*time.Minute, 5*time.Minute, config.QuietHours{DataCentres: []string{"hml-1"}})
		sim := newSimulation(f, simulationOptions{services: 3, engine: standin.EngineOptions{BaseInterval: 400 * time.Millisecond}, edit: func(c *config.Config) {
			c.QuietHours = map[string]*config.QuietHours{"q": &hours}
		}})
		defer sim.close()
		from, to := quietWindow(hours)
		engine, service := sim.dialer.engines["engine-3"], sim.dialer.services["service-3"]
		var wg sync.WaitGroup
		send := func(i int, tokens int) {
			wg.Go(func() {
				text := fmt.Sprintf("rota %d", i)
				got := sim.post("entry-3", org, chatPath, chatBody(text, tokens), map[string]string{"X-Deadline-Ms": "600000"})
				answered, model := completionText(got)
				f.check(got.status == http.StatusOK, "chat %d: %+v", i, got)
				f.check(answered == sim.expectedAnswer(org, text, tokens, model), "chat %d is incomplete: %q", i, answered)
			})
			wg.Go(func() {
				got := sim.post("entry-3", org, "/v1/services/kirjauspalvelu/timetable", `{}`, nil)
				f.check(got.status == http.StatusOK, "call %d: %+v", i, got)
			})
		}
		sim.sleep(time.Until(from) - 35*time.Second)
		for i := range 12 {
			send(i, 200)
		}
		sim.sleep(5 * time.Second)
		f.check(runningOn(f, engine) > 0, "no stream ran in the data centre before quiet hours")
		sim.sleep(time.Until(from))
		for i := 100; time.Now().Before(to); i++ {
			send(i, 8)
			sim.sleep(time.Second)
			f.check(runningOn(f, engine) == 0 || !time.Now().Before(to), "%d streams run during quiet hours", runningOn(f, engine))
		}
		wg.Wait()
		for i := 1000; i < 1030; i++ {
			send(i, 8)
		}
		wg.Wait()
		after := 0
		for _, run := range engine.Runs() {
			f.check(run.At.Before(from) || !run.At.Before(to), "an answer began at %s, during quiet hours from %s to %s", run.At, from, to)
			if !run.At.Before(to) {
				after++
			}
		}
		for _, call := range service.Calls() {
			f.check(call.At.Before(from) || !call.At.Before(to), "a call began at %s, during quiet hours from %s to %s", call.At, from, to)
		}
		f.check(after > 0, "the data centre is not used after quiet hours")
	})
}

// runningOn returns the number of streams that an engine runs.
func runningOn(f *failures, e *standin.Engine) int {
	report, err := e.Load(context.Background())
	f.check(err == nil, "load report: %v", err)
	return report.Running
}

// Quiet hours leave no backend server for a request. The refusal comes at once, and says
// that nothing ran and when to retry. Quiet hours of one organisation do not affect
// another. A call that may run at most once is not sent shortly before quiet hours.
func TestQuietHoursRefuseNewWork(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		hours := dailyQuietHours(2*time.Minute, 30*time.Minute, config.QuietHours{Organisations: []string{org}})
		sim := newSimulation(f, simulationOptions{edit: func(c *config.Config) {
			c.QuietHours = map[string]*config.QuietHours{"q": &hours}
		}})
		defer sim.close()
		from, to := quietWindow(hours)
		sim.sleep(time.Until(from) - 10*time.Second)
		early := sim.post("entry-1", org, confirmPath, `{}`, map[string]string{"Idempotency-Key": "seat-1"})
		f.check(early.status == http.StatusServiceUnavailable, "a confirmation just before quiet hours: %+v", early)
		sim.sleep(time.Until(from) + time.Second)
		for _, path := range []string{chatPath, confirmPath, "/v1/services/kirjauspalvelu/timetable"} {
			start := time.Now()
			got := sim.post("entry-1", org, path, chatBody("hello", 20), map[string]string{"Idempotency-Key": "seat-2"})
			f.check(time.Since(start) < time.Second, "the refusal took %s", time.Since(start))
			f.check(strings.Contains(got.body, `"quiet_hours"`) && strings.Contains(got.body, `"ran":"no"`), "%s: %+v", path, got)
			seconds, _ := strconv.Atoi(got.header.Get("Retry-After"))
			retryAt := time.Now().Add(time.Duration(seconds) * time.Second)
			f.check(!retryAt.Before(to) && retryAt.Before(to.Add(2*time.Second)), "%s: retry at %s, but quiet hours end at %s", path, retryAt, to)
		}
		other := sim.post("entry-1", "museobussit", chatPath, chatBody("hello", 20), nil)
		f.check(other.status == http.StatusOK, "a chat of another organisation: %+v", other)
		f.check(len(sim.serviceCalls()) == 0, "calls ran during quiet hours: %v", sim.serviceCalls())
		sim.sleep(time.Until(to) + time.Second)
		again := sim.post("entry-1", org, confirmPath, `{}`, map[string]string{"Idempotency-Key": "seat-1"})
		f.check(again.status == http.StatusOK, "a confirmation after quiet hours: %+v", again)
	})
}

// A new revision puts quiet hours in force. They stop work that runs and work that is
// queued. With no other backend server, an answer that has begun ends with the reason.
func TestQuietHoursTakeEffectByNewRevision(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{nodes: 1, engine: standin.EngineOptions{BaseInterval: 400 * time.Millisecond}, edit: func(c *config.Config) {
			c.Pools["mallipalvelin"].Slots = 1
		}})
		defer sim.close()
		const requests = 8
		got := make(chan answer, requests)
		for i := range requests {
			go func() {
				body := strings.Replace(chatBody(fmt.Sprint("long ", i), 400), "{", `{"stream":true,`, 1)
				got <- sim.post("entry-1", org, chatPath, body, map[string]string{"X-Deadline-Ms": "600000"})
			}()
		}
		sim.sleep(10*time.Second + time.Millisecond)
		hours := dailyQuietHours(-time.Minute, time.Hour, config.QuietHours{Models: []string{"kuski", "emanta"}})
		rev := sim.applyRevision("quiet now", func(r *config.Revision) {
			next := *sim.config
			next.QuietHours = map[string]*config.QuietHours{"q": &hours}
			r.Config = &next
		})
		before := time.Now()
		for sim.nodes["entry-1"].node.Status().Revision.Number < rev.Number {
			before = time.Now()
			sim.sleep(10 * time.Millisecond)
		}
		sim.sleep(time.Second)
		for _, e := range sim.dialer.engines {
			f.check(runningOn(f, e) == 0, "a stream runs during quiet hours")
			for _, run := range e.Runs() {
				f.check(!run.At.After(before), "an answer began at %s, quiet hours were in force after %s", run.At, before)
			}
		}
		begun := 0
		for range requests {
			end := <-got
			f.check(strings.Contains(end.body, `"quiet_hours"`), "the answer ended with %q", end.body)
			f.check(!strings.Contains(end.body, "[DONE]"), "a truncated answer is marked complete")
			if end.status == http.StatusOK {
				begun++
				f.check(strings.Contains(end.body, `"ran":"yes"`), "an answer that had begun ended with %q", end.body)
			}
		}
		f.check(begun > 0 && begun < requests, "%d of %d answers had begun", begun, requests)
	})
}
