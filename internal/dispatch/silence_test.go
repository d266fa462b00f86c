package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/backend"
)

// A stalled server that sends frames of another attempt now and then, or the
// same frame again, is given up as a silent one is.
func TestRepeatsAreNoProgress(t *testing.T) {
	for _, stray := range []backend.Frame{{Attempt: "other", Offset: 5}, {Attempt: "a", Offset: 2}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			frames := make(chan arrival)
			go func() {
				for {
					select {
					case frames <- arrival{frame: stray}:
						time.Sleep(time.Second)
					case <-t.Context().Done():
						return
					}
				}
			}()
			began := time.Now()
			_, paused, err := new(Dispatcher).follow(t.Context(), &answer{}, &place{}, newSplice("a", 3), frames, func() {})
			is.True(err != nil)
			is.True(!paused)
			is.Equal(time.Since(began), firstFrameWait)
		})
	}
}
