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
	loadWorkers   = 24
	maxShots      = 5
	loadTokens    = 40
	confirmEvery  = 5
	repeatEvery   = 10
	settleTimeout = 10 * time.Second
	settlePoll    = 50 * time.Millisecond
	billPrefix    = "bill/"
	rowsPerRead   = 10_000
)

// Line sums one rank and kind of work up.
type Line struct {
	Rank    string
	Kind    string
	Sent    int
	Served  int
	Refused int
	P50     time.Duration
	P99     time.Duration
}

// Report is what a load saw from outside.
type Report struct {
	Lines []Line
	// Served is the number of distinct requests served, Bills the number
	// stored.
	Served int
	Bills  int
	// Confirmations is the number of distinct keys sent, Confirmed how often
	// the service ran one.
	Confirmations int
	Confirmed     int
	// Faults are the checks that failed, in plain words.
	Faults []string
}

// shot is one request of the load and what came of it.
type shot struct {
	kind, rank, org, prompt, key string
	status                       int
	first                        time.Duration
	text, target, id, body       string
	err                          error
}

// RunLoad sends a mixed load of all ranks to the fleet and checks what came
// of it against the backend servers' and the platform's own accounts.
func RunLoad(ctx context.Context, f *Fleet, requests int) (*Report, error) {
	shots := makeShots(f, requests)
	work := make(chan int)
	var wg sync.WaitGroup
	for range loadWorkers {
		wg.Go(func() {
			for i := range work {
				f.shoot(ctx, &shots[i], f.Settings[i%len(f.Settings)].Listen)
			}
		})
	}
	for i := range shots {
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
	r := summarise(shots)
	return r, f.check(ctx, r, shots)
}

func makeShots(f *Fleet, n int) []shot {
	ranks := slices.Sorted(maps.Keys(f.Config.Ranks))
	orgs := slices.Sorted(maps.Keys(f.Config.Organisations))
	shots := make([]shot, n)
	for i := range shots {
		s := &shots[i]
		s.rank = ranks[i%len(ranks)]
		s.org = orgs[i%len(orgs)]
		s.kind = "chat"
		s.prompt = fmt.Sprintf("question %d of the demonstration", i)
		if i%confirmEvery == confirmEvery-1 {
			s.kind = "confirmation"
			s.key = fmt.Sprintf("confirmation-%d", i)
			if i%repeatEvery == repeatEvery-1 && i >= repeatEvery {
				s.key = shots[i-repeatEvery].key
				s.org = shots[i-repeatEvery].org
			}
		}
	}
	return shots
}

// shoot sends one request, and again when the answer says to come back.
func (f *Fleet) shoot(ctx context.Context, s *shot, address string) {
	for try := 1; ; try++ {
		f.shootOnce(ctx, s, address)
		wait := comeBack(s)
		if wait == 0 || try == maxShots {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// comeBack returns when a refused request should be sent again, zero if it
// should not.
func comeBack(s *shot) time.Duration {
	var refusal struct {
		Error struct {
			RetryAfterMS int64 `json:"retry_after_ms"`
		} `json:"error"`
	}
	if s.err != nil || s.status == http.StatusOK || json.Unmarshal([]byte(s.body), &refusal) != nil {
		return 0
	}
	return time.Duration(refusal.Error.RetryAfterMS) * time.Millisecond
}

func (f *Fleet) shootOnce(ctx context.Context, s *shot, address string) {
	start := time.Now()
	req, err := f.request(ctx, s, address)
	if err != nil {
		s.err = err
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.err = err
		return
	}
	defer resp.Body.Close()
	s.status = resp.StatusCode
	s.id = resp.Header.Get(gateway.HeaderRequestID)
	if s.kind == "chat" && resp.StatusCode == http.StatusOK {
		s.err = s.readStream(resp.Body, start)
		return
	}
	s.first = time.Since(start)
	raw, err := io.ReadAll(resp.Body)
	s.body, s.err = string(raw), err
}

func (f *Fleet) request(ctx context.Context, s *shot, address string) (*http.Request, error) {
	path := "/v1/services/" + f.Deployment.Service + "/confirmations"
	var body any = map[string]string{"key": s.key}
	if s.kind == "chat" {
		path = "/v1/chat/completions"
		body = map[string]any{"model": "auto", "stream": true, "max_tokens": loadTokens, "messages": []map[string]string{{"role": "user", "content": s.prompt}}}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer demo-key-"+s.org)
	req.Header.Set(gateway.HeaderRank, s.rank)
	if s.key != "" {
		req.Header.Set(backend.HeaderIdempotencyKey, s.key)
	}
	return req, nil
}

// chunk is the part of a streamed answer that the load reads.
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

func (s *shot) readStream(body io.Reader, start time.Time) error {
	raw := &firstByte{r: body, start: start}
	all, err := io.ReadAll(raw)
	s.first = raw.first
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
		s.text += c.Choices[0].Delta.Content
		if c.Choices[0].FinishReason != nil {
			s.target = c.Model
		}
	}
	return nil
}

// firstByte notes when the first byte came.
type firstByte struct {
	r     io.Reader
	start time.Time
	first time.Duration
}

// Read implements io.Reader.
func (f *firstByte) Read(p []byte) (int, error) {
	n, err := f.r.Read(p)
	if n > 0 && f.first == 0 {
		f.first = time.Since(f.start)
	}
	return n, err
}

func (s *shot) served() bool { return s.err == nil && s.status == http.StatusOK }

func summarise(shots []shot) *Report {
	type key struct{ rank, kind string }
	lines := map[key]*Line{}
	times := map[key][]time.Duration{}
	for i := range shots {
		s := &shots[i]
		k := key{s.rank, s.kind}
		if lines[k] == nil {
			lines[k] = &Line{Rank: s.rank, Kind: s.kind}
		}
		lines[k].Sent++
		if s.served() {
			lines[k].Served++
			times[k] = append(times[k], s.first)
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

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(100 * time.Microsecond)
}

// check compares what callers saw with the accounts of the stand-ins.
func (f *Fleet) check(ctx context.Context, r *Report, shots []shot) error {
	ids := map[string]bool{}
	keys := map[string]bool{}
	replies := map[string]string{}
	for i := range shots {
		s := &shots[i]
		if !s.served() {
			r.Faults = append(r.Faults, fmt.Sprintf("%s request of %s was not served: status %d, %v %s", s.rank, s.org, s.status, s.err, s.body))
			continue
		}
		ids[s.id] = true
		if s.kind == "chat" {
			f.checkAnswer(r, s)
			continue
		}
		keys[s.key] = true
		if old, ok := replies[s.key]; ok && old != s.body {
			r.Faults = append(r.Faults, fmt.Sprintf("key %s got two answers: %s and %s", s.key, old, s.body))
		}
		replies[s.key] = s.body
	}
	r.Served, r.Confirmations = len(ids), len(keys)
	f.checkCalls(r)
	return f.checkBills(ctx, r, ids)
}

func (f *Fleet) checkAnswer(r *Report, s *shot) {
	t := config.ParseTarget(s.target)
	for model, m := range f.Config.Models {
		for version, v := range m.Versions {
			if t != (config.Target{Model: model, Version: version}) {
				continue
			}
			prompt := "user: " + s.prompt + "\n"
			if s.text == standin.Answer(t, v.Quality, prompt, gateway.Fingerprint(s.org, prompt), loadTokens) {
				return
			}
		}
	}
	r.Faults = append(r.Faults, fmt.Sprintf("the answer to %q is not the one that %s gives", s.prompt, s.target))
}

func (f *Fleet) checkCalls(r *Report) {
	count := map[string]int{}
	for _, s := range f.Services {
		for _, c := range s.Calls() {
			count[c.Key]++
			r.Confirmed++
		}
	}
	for key, n := range count {
		if n > 1 {
			r.Faults = append(r.Faults, fmt.Sprintf("confirmation %s ran %d times", key, n))
		}
	}
}

func (f *Fleet) checkBills(ctx context.Context, r *Report, ids map[string]bool) error {
	deadline := time.Now().Add(settleTimeout)
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
				r.Faults = append(r.Faults, fmt.Sprintf("%d requests were served and %d bills are stored, %d of them theirs", len(ids), len(rows), r.Bills))
			}
			return nil
		}
		time.Sleep(settlePoll)
	}
}
