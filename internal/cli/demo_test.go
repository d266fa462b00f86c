package cli

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The demonstration of each example passes all its checks of answers, bills and
// confirmations. Its load includes repeats of calls that are still in progress,
// which must not run twice.
func TestDemo(t *testing.T) {
	for _, example := range []string{"virtanen", "turnoflor"} {
		t.Run(example, func(t *testing.T) {
			is := is.New(t)
			code, out, errs := run("demo", "--example", example, "--requests", "120")
			is.Equal(errs, "")
			is.Equal(code, 0)
			is.True(strings.Contains(out, "every answer, bill and confirmation adds up"))
		})
	}
}
