package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/backend"
)

// Guards against a stalled server that keeps a stream open by sending
// duplicates or frames of another attempt: it must time out like a silent one.
func TestRepeatedFramesAreNoProgress(t *testing.T) {
	for _, stray := range []backend.Frame{{Attempt: "other", Offset: 5}, {Attempt: "a", Offset: 2}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			frames := make(chan streamEvent)
			go func() {
				for {
					select {
					case frames <- streamEvent{frame: stray}:
						time.Sleep(time.Second)
					case <-t.Context().Done():
						return
					}
				}
			}()
			began := time.Now()
			_, paused, err := new(Dispatcher).receiveFrames(t.Context(), &answer{}, &slot{}, newFrameReorderer("a", 3), frames, func() {})
			is.True(err != nil)
			is.True(!paused)
			is.Equal(time.Since(began), firstFrameTimeout)
		})
	}
}
