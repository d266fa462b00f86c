package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/embedded"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

const (
	fairTokens   = 200
	fairDuration = 40 * time.Second
	// smallOrgStreams and largeOrgStreams are the numbers of concurrent requests of a
	// small and a large organisation.
	smallOrgStreams = 2
	largeOrgStreams = 12
)

// An organisation uses little of the fleet, but much of one replica. Its background
// work is given precedence there too, since usage is counted across the fleet from
// what the requesting nodes report.
func TestUsageIsCountedAcrossTheFleet(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{engineOf: fairEngine, poolOf: fairPool, edit: func(c *config.Config) {
			c.Pools["mallipalvelin"] = &config.Pool{Targets: []config.Target{kuskiV1}, Slots: floodSlots, KVTokens: config.DefaultKVTokens}
			c.Pools["strong"] = &config.Pool{Targets: []config.Target{emantaV3}, Slots: floodSlots, KVTokens: config.DefaultKVTokens}
			c.Rollouts = nil
		}})
		defer sim.close()
		var wg sync.WaitGroup
		for i := range largeOrgStreams {
			wg.Go(func() { sim.sendRepeatedly(i, "virtanen-lahti", "kuski", "normal") })
		}
		for i := range smallOrgStreams {
			wg.Go(func() { sim.sendRepeatedly(i, "kuorot-ry", "emanta", "background") })
		}
		wg.Wait()
		for i := range 3 {
			sim.sendFairRequest(i, "virtanen-lahti", "emanta", "normal")
		}
		a := sim.sendFairRequest(0, "kuorot-ry", "emanta", "background")
		steps := sim.explain("entry-1", a.header.Get("X-Request-Id"))
		f.check(strings.Contains(steps, "used little of its share"), "the small organisation's work was not given precedence: %s", steps)
		a = sim.sendFairRequest(0, "virtanen-lahti", "emanta", "background")
		steps = sim.explain("entry-1", a.header.Get("X-Request-Id"))
		f.check(strings.Contains(steps, "granted") && !strings.Contains(steps, "used little of its share"), "the large organisation's work was given precedence: %s", steps)
	})
}

// sendRepeatedly sends one request after the other for fairDuration.
func (sim *simulation) sendRepeatedly(i int, organisation, model, rank string) {
	for start := time.Now(); time.Since(start) < fairDuration; {
		sim.sendFairRequest(i, organisation, model, rank)
	}
}

// sendFairRequest sends one request of an organisation, which must be served.
func (sim *simulation) sendFairRequest(i int, organisation, model, rank string) answer {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"%s %d"}]}`, model, fairTokens, organisation, i)
	a := sim.post(fmt.Sprintf("entry-%d", 1+i%3), organisation, chatPath, body, map[string]string{"X-Rank": rank})
	sim.failures.check(a.status == http.StatusOK, "%s got %+v", organisation, a)
	return a
}

// fairPool gives the strong model one engine and the cheap model the others.
func fairPool(i int) string {
	if i == 0 {
		return "strong"
	}
	return "mallipalvelin"
}

// fairEngine returns the options of an engine in the pool that fairPool gives it.
func fairEngine(i int) standin.EngineOptions {
	o := standin.EngineOptions{Slots: floodSlots, BaseInterval: 20 * time.Millisecond, PerStream: time.Millisecond, Targets: []config.Target{kuskiV1}}
	if i == 0 {
		o.Targets = []config.Target{emantaV3}
	}
	return o
}

// explain returns the steps that a node recorded for a request.
func (sim *simulation) explain(id, request string) string {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return sim.net.dial("operator")(ctx, id+":operators")
	}}
	req, err := http.NewRequest(http.MethodGet, "http://"+id+"/explain/"+request, nil)
	sim.failures.check(err == nil, "explain: %v", err)
	req.Header.Set("Authorization", "Bearer "+embedded.OperatorKey)
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return string(raw)
}
