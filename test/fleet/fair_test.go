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
	fairTokens = 200
	fairSpan   = 40 * time.Second
	// fairSmall and fairLarge are the requests that a small and a large
	// organisation keep going.
	fairSmall = 2
	fairLarge = 12
)

// An organisation that uses little of the fleet has its background work put
// forward also on the one replica that it uses most of: use is counted over
// the fleet, by what the asking nodes tell.
func TestUseIsCountedOverTheFleet(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{engineOf: fairEngine, poolOf: fairPool, edit: func(c *config.Config) {
			c.Pools["mallipalvelin"] = &config.Pool{Targets: []config.Target{v1}, Slots: floodSlots, KVTokens: config.DefaultKVTokens}
			c.Pools["strong"] = &config.Pool{Targets: []config.Target{emanta}, Slots: floodSlots, KVTokens: config.DefaultKVTokens}
			c.Rollouts = nil
		}})
		defer w.close()
		var wg sync.WaitGroup
		for i := range fairLarge {
			wg.Go(func() { w.keepAsking(i, "virtanen-lahti", "kuski", "normal") })
		}
		for i := range fairSmall {
			wg.Go(func() { w.keepAsking(i, "kuorot-ry", "emanta", "background") })
		}
		wg.Wait()
		for i := range 3 {
			w.fairAsk(i, "virtanen-lahti", "emanta", "normal")
		}
		a := w.fairAsk(0, "kuorot-ry", "emanta", "background")
		steps := w.explain("entry-1", a.header.Get("X-Request-Id"))
		f.check(strings.Contains(steps, "used little of its share"), "the small organisation's work was not put forward: %s", steps)
		a = w.fairAsk(0, "virtanen-lahti", "emanta", "background")
		steps = w.explain("entry-1", a.header.Get("X-Request-Id"))
		f.check(strings.Contains(steps, "granted") && !strings.Contains(steps, "used little of its share"), "the large organisation's work was put forward: %s", steps)
	})
}

// keepAsking sends one request after the other for a while.
func (w *world) keepAsking(i int, organisation, model, rank string) {
	for start := time.Now(); time.Since(start) < fairSpan; {
		w.fairAsk(i, organisation, model, rank)
	}
}

func (w *world) fairAsk(i int, organisation, model, rank string) answer {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"%s %d"}]}`, model, fairTokens, organisation, i)
	a := w.post(fmt.Sprintf("entry-%d", 1+i%3), organisation, chatPath, body, map[string]string{"X-Rank": rank})
	w.faults.check(a.status == http.StatusOK, "%s got %+v", organisation, a)
	return a
}

// fairPool gives the strong model one engine and the cheap one the others.
func fairPool(i int) string {
	if i == 0 {
		return "strong"
	}
	return "mallipalvelin"
}

func fairEngine(i int) standin.EngineOptions {
	o := standin.EngineOptions{Slots: floodSlots, BaseInterval: 20 * time.Millisecond, PerStream: time.Millisecond, Targets: []config.Target{v1}}
	if i == 0 {
		o.Targets = []config.Target{emanta}
	}
	return o
}

// explain returns what a node tells of a request.
func (w *world) explain(id, request string) string {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return w.net.dial("operator")(ctx, id+":operators")
	}}
	req, err := http.NewRequest(http.MethodGet, "http://"+id+"/explain/"+request, nil)
	w.faults.check(err == nil, "explain: %v", err)
	req.Header.Set("Authorization", "Bearer "+embedded.OperatorKey)
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return string(raw)
}
