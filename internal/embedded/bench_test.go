package embedded

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/examples"
	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
)

const (
	benchNodes = 3
	benchRate  = 300 // requests a second
)

// startBenchFleet starts the Virtanen example without its quiet hours.
func startBenchFleet(b *testing.B) *Fleet {
	b.Helper()
	is := is.New(b)
	folder, err := fs.Sub(examples.Folders, Virtanen.Name)
	is.NoErr(err)
	fleetConfig, err := config.LoadFS(folder, Virtanen.Name)
	is.NoErr(err)
	fleetConfig.QuietHours = nil
	f, err := Start(b.Context(), Virtanen, fleetConfig, benchNodes, zap.NewNop())
	is.NoErr(err)
	b.Cleanup(f.Close)
	return f
}

// runAtRate makes b.N calls, starting benchRate of them a second whether or not
// earlier ones have returned, and reports the median and the 99th percentile of
// their durations.
func runAtRate(b *testing.B, call func(i int) error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	durations := make([]time.Duration, b.N)
	failed := 0
	b.ResetTimer()
	start := time.Now()
	for i := range b.N {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / benchRate)))
		wg.Go(func() {
			callStart := time.Now()
			err := call(i)
			mu.Lock()
			defer mu.Unlock()
			durations[i] = time.Since(callStart)
			if err != nil {
				failed++
			}
		})
	}
	wg.Wait()
	if failed > 0 {
		b.Errorf("%d of %d requests failed", failed, b.N)
	}
	slices.Sort(durations)
	b.ReportMetric(float64(durations[b.N/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(durations[b.N*99/100].Microseconds()), "p99-µs")
}

// post sends a JSON body and reads the whole response. It returns an error for
// any status but 200.
func post(client *http.Client, url, key string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	return nil
}

// BenchmarkPath measures the latency that the router adds: the difference
// between the sub-benchmarks, which request the same one-token answer from a
// model engine directly and through a node. Run it with -benchtime 3000x.
func BenchmarkPath(b *testing.B) {
	f := startBenchFleet(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	targets := f.Deployment.Targets(f.Config)
	b.Run("direct", func(b *testing.B) {
		runAtRate(b, func(i int) error {
			vm := f.vms[i%f.Deployment.Engines]
			return post(client, "http://"+vm.Address+backend.PathGenerate, "", backend.GenerateRequest{
				Attempt: fmt.Sprintf("direct-%d", i), Target: targets[0], Prompt: fmt.Sprintf("user: question %d\n", i), MaxTokens: 1,
			})
		})
	})
	b.Run("routed", func(b *testing.B) {
		runAtRate(b, func(i int) error {
			return post(client, "http://"+f.Settings[i%benchNodes].Listen+"/v1/chat/completions", "demo-key-"+slices.Sorted(maps.Keys(f.Config.Organisations))[0], map[string]any{
				"model": targets[0], "max_tokens": 1, "messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("question %d", i)}},
			})
		})
	})
}
