package forward

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// gapSuspects quarantines a request just after it was admitted.
type gapSuspects struct {
	fakeSuspects
	trialEnded bool
}

func (s *gapSuspects) BeginTrial([]string, time.Time) (func(), time.Duration) {
	s.quarantined.Store(1)
	return func() { s.trialEnded = true }, 0
}

// Guards against a request that is sent although a part of it was quarantined meanwhile.
func TestQuarantineBetweenTrialAndSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.server("x", func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusOK, "", "ok") })
		b.f.opts.Suspects = &gapSuspects{}
		_, _, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.Equal(len(b.receivedRequests()), 0)
	})
}

// endingSuspects records the end of a trial.
type endingSuspects struct {
	fakeSuspects
	ended bool
}

func (s *endingSuspects) BeginTrial([]string, time.Time) (func(), time.Duration) {
	return func() { s.ended = true }, 0
}

// Guards against a trial that never ends, after which other requests with the part are refused.
func TestPanicEndsTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, b := is.New(t), newHarness(t)
		b.server("x", func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusOK, "", "ok") })
		b.f.opts.Versions = &panickingVersions{}
		s := &endingSuspects{}
		b.f.opts.Suspects = s
		_, _, err := b.send(t.Context(), http.MethodPost, "/chat/1", chatHeaders)
		is.NoErr(err)
		is.True(s.ended)
	})
}
