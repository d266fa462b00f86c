package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/pool"
)

// A report with a speed or with later additions must not be dropped, and a damaged one must
// not pass for an idle server.
func TestLoadHeaders(t *testing.T) {
	now := time.Unix(1000, 0)
	for header, want := range map[string]pool.Load{
		"3,1,64":                 {Running: 3, Waiting: 1, Slots: 64, At: now},
		"3, 1, 64, 250":          {Running: 3, Waiting: 1, Slots: 64, Speed: 250, At: now},
		"3,1,64,97.5,later,more": {Running: 3, Waiting: 1, Slots: 64, Speed: 97.5, At: now},
		"3,1,64,":                {Running: 3, Waiting: 1, Slots: 64, At: now},
		"3,1,64,slow":            {Running: 3, Waiting: 1, Slots: 64, At: now},
		"3,1,64,0":               {Running: 3, Waiting: 1, Slots: 64, At: now},
		"3,1,64,10001":           {Running: 3, Waiting: 1, Slots: 64, At: now},
		"3,1,64,NaN":             {Running: 3, Waiting: 1, Slots: 64, At: now},
		"":                       {},
		"3,1":                    {},
		"3,x,64,100":             {},
		"-1,0,64,100":            {},
	} {
		t.Run(header, func(t *testing.T) {
			is := is.New(t)
			got, ok := parseLoad(header, now)
			is.Equal(ok, want != pool.Load{})
			is.Equal(got, want)
		})
	}
}
