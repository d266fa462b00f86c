package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// singleEngineDialer reaches the same engine at every address.
type singleEngineDialer struct{ engine *standin.Engine }

func (d singleEngineDialer) Engine(string) backend.Engine   { return d.engine }
func (d singleEngineDialer) Service(string) backend.Service { return nil }

// newOwnerOfOne returns an owner of one healthy replica, and a dialer for it.
func newOwnerOfOne(t *testing.T, suspects *Suspects) (*Owner, singleEngineDialer) {
	t.Helper()
	o := NewOwner(func(string, string) {})
	o.SetSuspects(suspects)
	c := &config.Config{Pools: map[string]*config.Pool{"p": {Slots: 4, KVTokens: 10_000}}, Ranks: map[string]*config.Rank{"normal": {}}}
	o.Configure(c)
	o.SetReplicas([]infra.VM{{ID: "r", Address: "r", Pool: "p"}}, c)
	dialer := singleEngineDialer{standin.NewEngine(standin.EngineOptions{ID: "r"})}
	o.Probe(context.Background(), dialer, func(string) bool { return false })
	return o, dialer
}

func acquireFor(o *Owner, fingerprint uint64, grant string) wire.AcquireReply {
	return o.Acquire(wire.AcquireArgs{Grant: grant, Replica: "r", Fingerprint: fingerprint, Tokens: 10, Wait: time.Second, Target: config.Target{Model: "m", Version: "v"}})
}

// A suspect gets a slot only on a replica that runs no other suspect. Requests
// that are not suspects are still admitted there.
func TestSuspectsAreKeptApart(t *testing.T) {
	is := is.New(t)
	s := NewSuspects()
	o, _ := newOwnerOfOne(t, s)
	now := time.Now()
	s.RecordCrash(1, "x", now)
	s.RecordCrash(2, "x", now)
	is.True(acquireFor(o, 1, "a").Granted)
	is.Equal(acquireFor(o, 2, "b").Reason, ReasonSuspect)
	is.True(acquireFor(o, 3, "c").Granted)
	o.Release(wire.ReleaseArgs{Grant: "a", Replica: "r"})
	is.True(acquireFor(o, 2, "d").Granted)
	is.True(s.ClearCrashes(2, now)) // it ran to completion
	is.True(acquireFor(o, 1, "e").Granted)
}

// Guards against records that depend on the order of merges. One crash reported
// twice counts once, two crashes quarantine the request, and a quarantine
// outlasts what clears a suspicion.
func TestSuspectsMerge(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a, b := NewSuspects(), NewSuspects()
	first := a.RecordCrash(1, "x", now)
	b.Merge(now, []wire.Suspect{first})
	b.RecordCrash(1, "x", now.Add(time.Second))
	is.True(!b.IsQuarantined(1, now)) // the same crash
	second := b.RecordCrash(1, "x", now.Add(time.Minute))
	is.True(b.IsQuarantined(1, now)) // the replica crashed again
	is.True(a.ClearCrashes(1, now))
	is.True(!a.IsSuspect(1, now))
	a.Merge(now, []wire.Suspect{second})
	is.True(a.IsQuarantined(1, now))
	is.True(!a.ClearCrashes(1, now))
	cleared := NewSuspects()
	cleared.Merge(now, []wire.Suspect{first})
	cleared.ClearCrashes(1, now)
	cleared.Merge(now, []wire.Suspect{first})
	is.True(!cleared.IsSuspect(1, now)) // an outdated record does not restore the suspicion
}

// Guards against a crash that goes unnoticed because the replica has already
// restarted: a new incarnation means that the replica crashed.
func TestInspectSeesARestart(t *testing.T) {
	is := is.New(t)
	o, dialer := newOwnerOfOne(t, nil)
	live, owned := o.Inspect(context.Background(), dialer, "r")
	is.True(live && owned)
	dialer.engine.Crash()
	dialer.engine.Restart()
	live, _ = o.Inspect(context.Background(), dialer, "r")
	is.True(!live)
}
