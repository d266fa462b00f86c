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

// between makes one call between programs of the given versions.
func between(t *testing.T, client, server Versions) error {
	var err error
	synctest.Test(t, func(*testing.T) {
		l := newPipes()
		s, _ := NewServer(l, secret, &echo{})
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

// Programs that share a version talk; others are refused on either side with
// an error that names who is to be upgraded.
func TestVersionsMustOverlap(t *testing.T) {
	is := is.New(t)
	is.NoErr(between(t, Versions{1, 2}, Versions{2, 3}))
	is.NoErr(between(t, Versions{3, 4}, Versions{1, 3}))
	for _, c := range []struct {
		client, server Versions
		remedy         string
	}{
		{Versions{1, 1}, Versions{2, 3}, "upgrade this node"},
		{Versions{3, 4}, Versions{1, 2}, "upgrade the peer"},
	} {
		err := between(t, c.client, c.server)
		var refused *VersionError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Peer, c.server)
		is.True(strings.Contains(err.Error(), c.remedy))
	}
}

// A nonce of version 1 is random and tells version 1.
func TestOldNonceIsVersionOne(t *testing.T) {
	is := is.New(t)
	is.Equal(versionsOf(make([]byte, nonceBytes)), Versions{1, 1})
	is.Equal(versionsOf(newNonce(Versions{2, 5})), Versions{2, 5})
}

// waiting answers Acquire once it is told to.
type waiting struct {
	Handler
	answer chan struct{}
}

func (w *waiting) Acquire(_ AcquireArgs, reply *AcquireReply) error {
	<-w.answer
	reply.Granted = true
	return nil
}

func (w *waiting) Release(ReleaseArgs, *ReleaseReply) error { return nil }

// Above the bound a connection's requests for places are refused at once, with
// an error of their own; places can still be given back, and later requests are
// answered.
func TestCallsUnderWayAreBounded(t *testing.T) {
	is := is.New(t)
	var granted, busy, other int
	var release, later error
	synctest.Test(t, func(*testing.T) {
		h := &waiting{answer: make(chan struct{})}
		l, s := serve(h)
		peers := NewPeers(secret, l.dial)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range maxWaits + 10 {
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
	is.Equal(granted, maxWaits)
	is.Equal(busy, 10)
	is.Equal(other, 0)
	is.NoErr(release)
	is.NoErr(later)
}

// The evidence of a node of version 1 is read.
func TestOldEvidenceIsRead(t *testing.T) {
	is := is.New(t)
	target := config.Target{Model: "m", Version: "v"}
	old := EvidenceArgs{Node: "a", Incarnation: 7, Evidence: []VersionEvidence{{Target: target, Evidence: rollout.Evidence{Served: rollout.Counts{Good: 3, Bad: 1}}}}}
	reports, err := old.Reports()
	is.NoErr(err)
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Process, rollout.Process{Node: "a", Incarnation: 7})
	is.Equal(reports[0].Totals[target].Served, rollout.Counts{Good: 3, Bad: 1})
}
