package forward

import (
	"strconv"
	"strings"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/pool"
)

const (
	// loadFigures is the number of figures that a load header has at least: requests that
	// run, requests that wait, and slots. A further one is the speed.
	loadFigures = 3
	// minSpeed and maxSpeed bound the speed in percent.
	minSpeed, maxSpeed = 1, 10000
)

// parseLoad reads the load that a server reports. It returns false if one of the first
// three figures is missing or no number. A speed that is none is ignored, as are further
// figures.
func parseLoad(header string, now time.Time) (pool.Load, bool) {
	parts := strings.Split(header, ",")
	if len(parts) < loadFigures {
		return pool.Load{}, false
	}
	var values [loadFigures]int
	for i := range values {
		n, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || n < 0 {
			return pool.Load{}, false
		}
		values[i] = n
	}
	load := pool.Load{Running: values[0], Waiting: values[1], Slots: values[2], At: now}
	if len(parts) > loadFigures {
		if speed, err := strconv.ParseFloat(strings.TrimSpace(parts[loadFigures]), 64); err == nil && speed >= minSpeed && speed <= maxSpeed {
			load.Speed = speed
		}
	}
	return load, true
}

// recordLoad records the load that the server reports in the header of its
// answer.
func (x *exchange) recordLoad(a *attempt) {
	if load, ok := parseLoad(a.resp.Header.Get(x.f.opts.Headers.Load), time.Now()); ok {
		a.member.RecordLoad(load)
	}
}
