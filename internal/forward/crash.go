package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/probe"
	"github.com/cowslipfall/cowslipfall/internal/route"
)

const (
	// crashProbeDelay is the delay between a broken answer and the probe of its
	// server. A crashed process has closed its listener by then and takes seconds
	// to restart.
	crashProbeDelay = 50 * time.Millisecond
	// droppedProbeDelay is the delay after an answer was dropped for that of a larger
	// model. Its server may crash when it goes on, and nobody would see the answer break.
	droppedProbeDelay = 250 * time.Millisecond
	// minSurvivalTime and minSurvivalEvents are how long a stream runs after its first
	// event, and how many events it has, before it counts as well past its start. A
	// server that is crashed by a prompt sends at most a few events, which a node that
	// was suspended may read late.
	minSurvivalTime   = time.Second
	minSurvivalEvents = 8
	// maxTrialWait is how long a request with a suspected part waits to be sent, and
	// trialRetryAfter is the least time after which its caller may return.
	maxTrialWait    = 2 * time.Second
	trialRetryAfter = time.Second
	// survivalInterval is how often a long stream is recorded as a survival.
	survivalInterval = time.Second
)

// errTrialsBusy means that a request was not sent since others with the same suspected part
// are tried first.
var errTrialsBusy = errors.New("a part of the prompt is suspected of crashing backend servers, and other requests with it are tried first")

// errQuarantined means that the request or a part of its prompt was quarantined while a
// server had not yet begun to answer.
var errQuarantined = errors.New("request was quarantined")

// quarantineRefusal is the answer to requests that crash backend servers.
var quarantineRefusal = refusal{status: http.StatusServiceUnavailable, reason: "request brings backend servers down", retryAfter: quarantineRetryAfter}

// recordBreak records that the server broke off a connection. It counts as cold until the
// probe has shown that it did not end.
func (x *exchange) recordBreak(a *attempt) {
	now := time.Now()
	isSudden := a.member.RecordBreak(now)
	x.suspectCrash(a, crashProbeDelay, func() {
		if isSudden {
			a.member.RecordStillServes(now)
		}
	})
}

// publishCold tells the other nodes how long a server is still cold, or that it is gone, if
// its service limits cold servers.
func (f *Forwarder) publishCold(m *pool.Member, left time.Duration, isLost bool) {
	if m.IsCold(time.Now()) {
		f.opts.OnCold(m.Server, left, isLost)
	}
}

// suspectCrash probes the server some time after its answer broke off. If the
// server accepts a connection, onAccepted is called, else the request is recorded as a
// suspect for the crash.
// Servers that break off answers for other reasons still accept connections. One that
// drains is expected to end, and one that does not respond may only be cut off.
func (x *exchange) suspectCrash(a *attempt, delay time.Duration, onAccepted func()) {
	f, q, m, isStarting, brokeAt := x.f, x.req, a.member, x.req.Route.Kind == route.Stream && !a.hasSurvived(time.Now()), time.Now()
	if !m.IsPresent() {
		return
	}
	running := brokeAt.Sub(a.began)
	probed := make(chan struct{})
	x.crashProbe = probed
	go func() {
		defer close(probed)
		time.Sleep(delay)
		if m.RemainingBackoff(time.Now()) > 0 || probe.AcceptsOrIsSilent(m.Address, func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := f.links.dial(ctx, network, address)
			if err == nil {
				onAccepted()
			}
			return conn, err
		}) {
			return
		}
		m.RecordLostContact(time.Now())
		f.publishCold(m, 0, true)
		f.opts.Suspects.Crashed(q.Fingerprint, q.sharedPartIDs, isStarting, m.ID, running, brokeAt)
	}()
}

// hasSurvived reports whether the server runs the attempt well past its start.
func (a *attempt) hasSurvived(now time.Time) bool {
	return a.events >= minSurvivalEvents && now.Sub(a.firstEvent) >= minSurvivalTime
}

// recordSurvival counts an event of a stream. It records once per interval that the
// server survives the request, and returns true then.
func (x *exchange) recordSurvival(a *attempt) bool {
	a.events++
	now := time.Now()
	if !a.hasSurvived(now) || now.Sub(a.survivalRecorded) < survivalInterval {
		return false
	}
	a.survivalRecorded = now
	x.f.opts.Suspects.Survived(x.req.Fingerprint, x.req.sharedPartIDs, now)
	return true
}

// awaitTrial waits until the request may be sent: at once if no part of its prompt is
// suspected, else after the requests with the same part that are tried first. With
// errTrialsBusy it returns when the caller may retry.
func (x *exchange) awaitTrial(ctx context.Context, s *streamState) (time.Duration, error) {
	if x.crashProbe != nil {
		select {
		case <-x.crashProbe:
		case <-ctx.Done():
		}
	}
	for deadline := time.Now().Add(maxTrialWait); ; {
		now := time.Now()
		if x.f.isQuarantined(x.req) {
			return trialRetryAfter, errQuarantined
		}
		end, wait := x.f.opts.Suspects.BeginTrial(x.req.sharedPartIDs, now)
		if wait == 0 {
			s.endTrial = sync.OnceFunc(end)
			x.stopTrial = s.endTrial
			return 0, nil
		}
		if ctx.Err() != nil || now.Add(wait).After(deadline) {
			return max(wait, trialRetryAfter), errTrialsBusy
		}
		loop.Sleep(ctx, wait)
	}
}

// endTrial ends the trial of an attempt that has ended, once it is known whether its server
// crashed.
func (x *exchange) endTrial(s *streamState) {
	if x.crashProbe == nil {
		s.endTrial()
		return
	}
	probe, end := x.crashProbe, s.endTrial
	go func() {
		<-probe
		end()
	}()
}

// isQuarantined reports whether the request or one of its prompt's parts is quarantined.
func (f *Forwarder) isQuarantined(q *Request) bool {
	return f.opts.Suspects.IsQuarantined(q.Fingerprint, q.sharedPartIDs, time.Now())
}

// refuseQuarantined refuses a request that was quarantined while it was served. Only one
// that no server may have run is told so.
func (x *exchange) refuseQuarantined() {
	r := quarantineRefusal
	if x.mayHaveRun {
		r.status = http.StatusBadGateway
	}
	x.refuse(r)
}

// startingStreams is the set of streams that were sent to a server and have no event yet.
// It is safe for concurrent use.
type startingStreams struct {
	mu      sync.Mutex
	streams map[*attempt]startingStream // guarded by mu
}

type startingStream struct {
	request *Request
	cancel  func()
}

func (s *startingStreams) add(a *attempt, q *Request, cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams == nil {
		s.streams = map[*attempt]startingStream{}
	}
	s.streams[a] = startingStream{q, cancel}
}

func (s *startingStreams) remove(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, a)
}

// CancelQuarantined cancels the streams that are quarantined by now and have not begun, so
// that their servers drop them.
func (f *Forwarder) CancelQuarantined() {
	f.starting.mu.Lock()
	var cancels []func()
	for _, s := range f.starting.streams {
		if f.isQuarantined(s.request) {
			cancels = append(cancels, s.cancel)
		}
	}
	f.starting.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}
