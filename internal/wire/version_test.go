package wire

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
)

// callBetween makes one call between programs that support the given versions.
func callBetween(t *testing.T, client, server Versions) error {
	var err error
	synctest.Test(t, func(*testing.T) {
		l := newPipeListener()
		s, _ := NewServer(l, secret, &echoHandler{})
		s.versions = server
		go s.Serve()
		peers := NewPeers(secret, l.dial)
		peers.versions = client
		err = peers.Call(context.Background(), "peer", "Exchange", News{}, &News{})
		peers.Close()
		s.Close()
		time.Sleep(time.Minute)
	})
	return err
}

// Programs that share a version can call each other. Others are refused with an
// error that names the side to upgrade.
func TestVersionsMustOverlap(t *testing.T) {
	is := is.New(t)
	is.NoErr(callBetween(t, Versions{1, 2}, Versions{2, 3}))
	is.NoErr(callBetween(t, Versions{3, 4}, Versions{1, 3}))
	for _, c := range []struct {
		client, server Versions
		remedy         string
	}{
		{Versions{1, 1}, Versions{2, 3}, "upgrade this node"},
		{Versions{3, 4}, Versions{1, 2}, "upgrade the peer"},
	} {
		err := callBetween(t, c.client, c.server)
		var refused *VersionError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Peer, c.server)
		is.True(strings.Contains(err.Error(), c.remedy))
	}
}

// A nonce without the version mark stands for version 1, whose nonces are random.
func TestOldNonceIsVersionOne(t *testing.T) {
	is := is.New(t)
	is.Equal(versionsOf(make([]byte, nonceBytes)), Versions{1, 1})
	is.Equal(versionsOf(newNonce(Versions{2, 5})), Versions{2, 5})
}

// blockingHandler answers Acquire once answer is closed.
type blockingHandler struct {
	Handler
	answer chan struct{}
}

func (h *blockingHandler) Acquire(_ AcquireArgs, reply *AcquireReply) error {
	<-h.answer
	reply.Granted = true
	return nil
}

func (h *blockingHandler) Release(ReleaseArgs, *ReleaseReply) error { return nil }

// Requests for slots above the limit of a connection fail at once with ErrBusy.
// Slots can still be released meanwhile, and later requests are answered.
func TestConcurrentCallsAreBounded(t *testing.T) {
	is := is.New(t)
	var granted, busy, other int
	var release, later error
	synctest.Test(t, func(*testing.T) {
		h := &blockingHandler{answer: make(chan struct{})}
		l, s := serve(h)
		peers := NewPeers(secret, l.dial)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range maxAcquires + 10 {
			wg.Go(func() {
				reply := &AcquireReply{}
				err := peers.Call(context.Background(), "peer", "Acquire", AcquireArgs{Grant: "g"}, reply)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil && reply.Granted:
					granted++
				case errors.Is(err, ErrBusy):
					busy++
				default:
					other++
				}
			})
		}
		time.Sleep(time.Second)
		release = peers.Call(context.Background(), "peer", "Release", ReleaseArgs{}, &ReleaseReply{})
		close(h.answer)
		wg.Wait()
		later = peers.Call(context.Background(), "peer", "Acquire", AcquireArgs{}, &AcquireReply{})
		peers.Close()
		s.Close()
		time.Sleep(time.Minute)
	})
	is.Equal(granted, maxAcquires)
	is.Equal(busy, 10)
	is.Equal(other, 0)
	is.NoErr(release)
	is.NoErr(later)
}

// The evidence of a node of protocol version 1 is decoded.
func TestOldEvidenceIsDecoded(t *testing.T) {
	is := is.New(t)
	target := config.Target{Model: "m", Version: "v"}
	old := EvidenceArgs{Node: "a", Incarnation: 7, Evidence: []VersionEvidence{{Target: target, Evidence: rollout.Evidence{Served: rollout.Counts{Good: 3, Bad: 1}}}}}
	reports, err := old.Reports()
	is.NoErr(err)
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Process, rollout.Process{Node: "a", Incarnation: 7})
	is.Equal(reports[0].Totals[target].Served, rollout.Counts{Good: 3, Bad: 1})
}
