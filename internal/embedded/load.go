package embedded

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/gateway"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

const (
	loadWorkers      = 24
	maxAttempts      = 5
	loadMaxTokens    = 40
	confirmEvery     = 5
	repeatEvery      = 10
	billTimeout      = 10 * time.Second
	billPollInterval = 50 * time.Millisecond
	billPrefix       = "bill/"
	rowsPerRead      = 10_000
)

// Line summarises the requests of one rank and kind.
type Line struct {
	Rank   string
	Kind   string
	Sent   int
	Served int
	// Refused counts all requests that were not served, failed ones included.
	Refused int
	// P50 and P99 are quantiles of the time to the first byte of an answer.
	P50 time.Duration
	P99 time.Duration
}

// Report is the result of a load, as its callers saw it and as the stand-ins
// recorded it.
type Report struct {
	Lines []Line
	// Served is the number of distinct requests that were served, and Bills the
	// number of bills that are stored for them.
	Served int
	Bills  int
	// Confirmations is the number of distinct keys whose confirmation was
	// served, and ConfirmationRuns how often the service executed one.
	Confirmations    int
	ConfirmationRuns int
	// FailedChecks describes each check that failed.
	FailedChecks []string
}

// loadRequest is one request of the load with its result.
type loadRequest struct {
	kind, rank, org, prompt, key string
	status                       int
	// firstByteTime is the time from sending the request to the first byte of
	// the answer, or to the response headers if the answer is not streamed.
	firstByteTime          time.Duration
	text, target, id, body string
	err                    error
}

// RunLoad sends a mixed load of all ranks to the fleet, and checks the answers
// against what the backend servers and the platform recorded. Failed checks are
// in the report. The error says that the load was stopped or that the bills
// could not be listed.
func RunLoad(ctx context.Context, f *Fleet, count int) (*Report, error) {
	requests := makeRequests(f, count)
	work := make(chan int)
	var wg sync.WaitGroup
	for range loadWorkers {
		wg.Go(func() {
			for i := range work {
				f.sendWithRetries(ctx, &requests[i], f.Settings[i%len(f.Settings)].Listen)
			}
		})
	}
	for i := range requests {
		if ctx.Err() != nil {
			break
		}
		work <- i
	}
	close(work)
	wg.Wait()
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "the load was stopped before its end")
	}
	r := summarise(requests)
	return r, f.check(ctx, r, requests)
}

// makeRequests returns n requests that cycle through the ranks and
// organisations. Each confirmEvery-th one is a confirmation, and each
// repeatEvery-th one repeats the key of an earlier confirmation.
func makeRequests(f *Fleet, n int) []loadRequest {
	ranks := slices.Sorted(maps.Keys(f.Config.Ranks))
	orgs := slices.Sorted(maps.Keys(f.Config.Organisations))
	requests := make([]loadRequest, n)
	for i := range requests {
		lr := &requests[i]
		lr.rank = ranks[i%len(ranks)]
		lr.org = orgs[i%len(orgs)]
		lr.kind = "chat"
		lr.prompt = fmt.Sprintf("question %d of the demonstration", i)
		if i%confirmEvery == confirmEvery-1 {
			lr.kind = "confirmation"
			lr.key = fmt.Sprintf("confirmation-%d", i)
			if i%repeatEvery == repeatEvery-1 && i >= repeatEvery {
				lr.key = requests[i-repeatEvery].key
				lr.org = requests[i-repeatEvery].org
			}
		}
	}
	return requests
}

// sendWithRetries sends a request. While the answer is a refusal with a
// retry-after time, it waits that long and sends the request again, up to
// maxAttempts times in all.
func (f *Fleet) sendWithRetries(ctx context.Context, lr *loadRequest, address string) {
	for attempt := 1; ; attempt++ {
		f.send(ctx, lr, address)
		delay := retryDelay(lr)
		if delay == 0 || attempt == maxAttempts {
			return
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
	}
}

// retryDelay returns the delay after which a refused request should be sent
// again, zero if it should not be.
func retryDelay(lr *loadRequest) time.Duration {
	var refusal struct {
		Error struct {
			RetryAfterMS int64 `json:"retry_after_ms"`
		} `json:"error"`
	}
	if lr.err != nil || lr.status == http.StatusOK || json.Unmarshal([]byte(lr.body), &refusal) != nil {
		return 0
	}
	return time.Duration(refusal.Error.RetryAfterMS) * time.Millisecond
}

// send sends a request once and records the result in lr.
func (f *Fleet) send(ctx context.Context, lr *loadRequest, address string) {
	start := time.Now()
	req, err := f.newHTTPRequest(ctx, lr, address)
	if err != nil {
		lr.err = err
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		lr.err = err
		return
	}
	defer resp.Body.Close()
	lr.status = resp.StatusCode
	lr.id = resp.Header.Get(gateway.HeaderRequestID)
	if lr.kind == "chat" && resp.StatusCode == http.StatusOK {
		lr.err = lr.readStream(resp.Body, start)
		return
	}
	lr.firstByteTime = time.Since(start)
	raw, err := io.ReadAll(resp.Body)
	lr.body, lr.err = string(raw), err
}

// newHTTPRequest returns the HTTP request for lr.
func (f *Fleet) newHTTPRequest(ctx context.Context, lr *loadRequest, address string) (*http.Request, error) {
	path := "/v1/services/" + f.Deployment.Service + "/confirmations"
	var body any = map[string]string{"key": lr.key}
	if lr.kind == "chat" {
		path = "/v1/chat/completions"
		body = map[string]any{"model": "auto", "stream": true, "max_tokens": loadMaxTokens, "messages": []map[string]string{{"role": "user", "content": lr.prompt}}}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer demo-key-"+lr.org)
	req.Header.Set(gateway.HeaderRank, lr.rank)
	if lr.key != "" {
		req.Header.Set(backend.HeaderIdempotencyKey, lr.key)
	}
	return req, nil
}

// chunk holds the fields of a streamed chunk that the load reads.
type chunk struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// readStream reads a streamed answer. It records the text, the version that
// gave it and the time to the first byte.
func (lr *loadRequest) readStream(body io.Reader, start time.Time) error {
	reader := &firstByteReader{r: body, start: start}
	all, err := io.ReadAll(reader)
	lr.firstByteTime = reader.firstByteTime
	if err != nil {
		return err
	}
	for line := range strings.SplitSeq(string(all), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return errors.Wrap(err, "read chunk")
		}
		if len(c.Error) > 0 {
			return errors.Errorf("the stream ended with %s", c.Error)
		}
		lr.text += c.Choices[0].Delta.Content
		if c.Choices[0].FinishReason != nil {
			lr.target = c.Model
		}
	}
	return nil
}

// firstByteReader measures the time from start until the first byte is read.
type firstByteReader struct {
	r             io.Reader
	start         time.Time
	firstByteTime time.Duration
}

// Read implements io.Reader.
func (f *firstByteReader) Read(p []byte) (int, error) {
	n, err := f.r.Read(p)
	if n > 0 && f.firstByteTime == 0 {
		f.firstByteTime = time.Since(f.start)
	}
	return n, err
}

// isServed reports whether the request got a complete, successful answer.
func (lr *loadRequest) isServed() bool { return lr.err == nil && lr.status == http.StatusOK }

// summarise groups the requests by rank and kind.
func summarise(requests []loadRequest) *Report {
	type key struct{ rank, kind string }
	lines := map[key]*Line{}
	times := map[key][]time.Duration{}
	for i := range requests {
		lr := &requests[i]
		k := key{lr.rank, lr.kind}
		if lines[k] == nil {
			lines[k] = &Line{Rank: lr.rank, Kind: lr.kind}
		}
		lines[k].Sent++
		if lr.isServed() {
			lines[k].Served++
			times[k] = append(times[k], lr.firstByteTime)
		} else {
			lines[k].Refused++
		}
	}
	r := &Report{}
	for k, l := range lines {
		slices.Sort(times[k])
		l.P50 = quantile(times[k], 0.5)
		l.P99 = quantile(times[k], 0.99)
		r.Lines = append(r.Lines, *l)
	}
	slices.SortFunc(r.Lines, func(a, b Line) int { return strings.Compare(a.Kind+a.Rank, b.Kind+b.Rank) })
	return r
}

// quantile returns the q-quantile of sorted durations, rounded to 0.1 ms, and
// zero if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(100 * time.Microsecond)
}

// check compares what callers saw with what the stand-ins recorded: each answer
// is the right one, no confirmation ran twice, and each served request has one
// bill.
func (f *Fleet) check(ctx context.Context, r *Report, requests []loadRequest) error {
	ids := map[string]bool{}
	keys := map[string]bool{}
	replies := map[string]string{}
	for i := range requests {
		lr := &requests[i]
		if !lr.isServed() {
			r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("%s request of %s was not served: status %d, %v %s", lr.rank, lr.org, lr.status, lr.err, lr.body))
			continue
		}
		ids[lr.id] = true
		if lr.kind == "chat" {
			f.checkAnswer(r, lr)
			continue
		}
		keys[lr.key] = true
		if earlier, ok := replies[lr.key]; ok && earlier != lr.body {
			r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("key %s got two answers: %s and %s", lr.key, earlier, lr.body))
		}
		replies[lr.key] = lr.body
	}
	r.Served, r.Confirmations = len(ids), len(keys)
	f.checkCalls(r)
	return f.checkBills(ctx, r, ids)
}

// checkAnswer checks that a chat answer is exactly what the version named in it
// generates.
func (f *Fleet) checkAnswer(r *Report, lr *loadRequest) {
	t := config.ParseTarget(lr.target)
	for model, m := range f.Config.Models {
		for version, v := range m.Versions {
			if t != (config.Target{Model: model, Version: version}) {
				continue
			}
			prompt := "user: " + lr.prompt + "\n"
			if lr.text == standin.Answer(t, v.Quality, prompt, gateway.Fingerprint(lr.org, prompt), loadMaxTokens) {
				return
			}
		}
	}
	r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("the answer to %q differs from the answer of %s", lr.prompt, lr.target))
}

// checkCalls checks that the service executed no confirmation more than once.
func (f *Fleet) checkCalls(r *Report) {
	runs := map[string]int{}
	for _, s := range f.Services {
		for _, c := range s.Calls() {
			runs[c.Key]++
			r.ConfirmationRuns++
		}
	}
	for key, n := range runs {
		if n > 1 {
			r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("confirmation %s ran %d times", key, n))
		}
	}
}

// checkBills waits up to billTimeout for the bills of all served requests, and
// checks that there are no others.
func (f *Fleet) checkBills(ctx context.Context, r *Report, ids map[string]bool) error {
	deadline := time.Now().Add(billTimeout)
	for {
		rows, err := f.Platform.List(ctx, billPrefix, "", rowsPerRead)
		if err != nil {
			return errors.Wrap(err, "list bills")
		}
		r.Bills = 0
		for _, row := range rows {
			if ids[strings.TrimPrefix(row.Key, billPrefix)] {
				r.Bills++
			}
		}
		if r.Bills >= len(ids) || time.Now().After(deadline) {
			if r.Bills != len(ids) || len(rows) != len(ids) {
				r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("%d requests were served and %d bills are stored, %d of them for these requests", len(ids), len(rows), r.Bills))
			}
			return nil
		}
		time.Sleep(billPollInterval)
	}
}
