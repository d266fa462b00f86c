package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

func newTestSchedule(t interface{ Fatal(...any) }, h config.QuietHours) *QuietSchedule {
	q, err := NewQuietSchedule(&config.Config{QuietHours: map[string]*config.QuietHours{"q": &h}})
	if err != nil {
		t.Fatal(err)
	}
	return q
}

// parseUTC parses a time in UTC.
func parseUTC(text string) time.Time {
	t, err := time.Parse("2006-01-02 15:04:05", text)
	if err != nil {
		panic(err)
	}
	return t
}

// Windows must be right in a time zone, past midnight, across both clock changes
// of the year, on some days only, and for a whole day.
func TestQuietHoursWindows(t *testing.T) {
	night := config.QuietHours{Zone: "Europe/Helsinki", From: "22:30", To: "06:00"}
	gap := config.QuietHours{Zone: "Europe/Helsinki", From: "03:30", To: "05:00"}
	gapEnd := config.QuietHours{Zone: "Europe/Helsinki", From: "01:00", To: "03:30"}
	saturday := config.QuietHours{Zone: "Europe/Helsinki", From: "22:30", To: "06:00", Days: []string{"sat"}}
	wholeDay := config.QuietHours{Zone: "America/Montevideo", From: "00:00", To: "00:00", Days: []string{"sun"}}
	withMargin := config.QuietHours{Zone: "Europe/Helsinki", From: "22:30", To: "06:00", Margin: config.Duration(2 * time.Second)}
	for _, c := range []struct {
		name          string
		hours         config.QuietHours
		now, from, to string
	}{
		{"before the night", night, "2026-12-04 12:00:00", "2026-12-04 20:30:00", "2026-12-05 04:00:00"},
		{"past midnight", night, "2026-12-05 03:59:59", "2026-12-04 20:30:00", "2026-12-05 04:00:00"},
		{"the end is outside", night, "2026-12-05 04:00:00", "2026-12-05 20:30:00", "2026-12-06 04:00:00"},
		{"a shorter night in spring", night, "2026-03-28 21:00:00", "2026-03-28 20:30:00", "2026-03-29 03:00:00"},
		{"a longer night in autumn", night, "2026-10-24 20:00:00", "2026-10-24 19:30:00", "2026-10-25 04:00:00"},
		{"begins in the gap", gap, "2026-03-29 00:00:00", "2026-03-29 01:00:00", "2026-03-29 02:00:00"},
		{"ends in the gap", gapEnd, "2026-03-28 23:30:00", "2026-03-28 23:00:00", "2026-03-29 01:00:00"},
		{"begins at the first of two readings", gap, "2026-10-25 00:00:00", "2026-10-25 00:30:00", "2026-10-25 03:00:00"},
		{"ends at the last of two readings", gapEnd, "2026-10-24 23:00:00", "2026-10-24 22:00:00", "2026-10-25 01:30:00"},
		{"on its day only", saturday, "2026-12-06 05:00:00", "2026-12-12 20:30:00", "2026-12-13 04:00:00"},
		{"a whole day", wholeDay, "2026-12-04 12:00:00", "2026-12-06 03:00:00", "2026-12-07 03:00:00"},
		{"with clock error", withMargin, "2026-12-05 04:00:01", "2026-12-04 20:29:58", "2026-12-05 04:00:02"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w, ok := newTestSchedule(t, c.hours).WindowsAround(parseUTC(c.now)).Next(parseUTC(c.now), Scope{})
			is.True(ok)
			is.Equal(w.From.UTC(), parseUTC(c.from))
			is.Equal(w.To.UTC(), parseUTC(c.to))
		})
	}
}

// A rule applies only if all fields that it restricts match the scope.
func TestQuietHoursScope(t *testing.T) {
	is := is.New(t)
	q := newTestSchedule(t, config.QuietHours{Zone: "UTC", From: "00:00", To: "06:00", DataCentres: []string{"hml-1"}, Models: []string{"kuski"}})
	now := parseUTC("2026-12-04 01:00:00")
	for scope, want := range map[Scope]bool{
		{DataCentre: "hml-1", Model: "kuski"}:                                  true,
		{DataCentre: "hml-1", Model: "kuski", Pool: "p", Organisation: "some"}: true,
		{DataCentre: "hml-1", Model: "emanta"}:                                 false,
		{DataCentre: "lahti-1", Model: "kuski"}:                                false,
		{Model: "kuski"}:                                                       false,
	} {
		_, ok := q.WindowsAround(now).Next(now, scope)
		is.Equal(ok, want)
	}
}

// Overlapping windows count as one, so that no work is sent back between them.
func TestOverlappingWindowsMerge(t *testing.T) {
	is := is.New(t)
	q, err := NewQuietSchedule(&config.Config{QuietHours: map[string]*config.QuietHours{
		"a": {Zone: "UTC", From: "22:00", To: "02:00"}, "b": {Zone: "UTC", From: "01:00", To: "06:00"},
	}})
	is.NoErr(err)
	w, ok := q.WindowsAround(parseUTC("2026-12-04 23:00:00")).Next(parseUTC("2026-12-04 23:00:00"), Scope{})
	is.True(ok)
	is.Equal(w.To.UTC(), parseUTC("2026-12-05 06:00:00"))
	is.Equal(len(q.WindowsAround(parseUTC("2026-12-04 23:00:00")).CurrentOrNext(parseUTC("2026-12-04 23:00:00"))), 2)
}

// For any zone, rule and moment: if the zone's clock shows a time within the quiet
// hours, a window is open.
func TestQuietHoursFollowTheZoneClock(t *testing.T) {
	zones := []string{"Europe/Helsinki", "America/Montevideo", "America/New_York", "Australia/Lord_Howe", "Asia/Kathmandu", "America/St_Johns"}
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom(zones).Draw(t, "zone")
		zone, err := time.LoadLocation(name)
		if err != nil {
			t.Fatal(err)
		}
		randomTimeOfDay := func(label string) string {
			return parseUTC("2026-01-01 00:00:00").Add(time.Duration(rapid.IntRange(0, 24*60-1).Draw(t, label)) * time.Minute).Format(timeOfDayLayout)
		}
		h := config.QuietHours{Zone: name, From: randomTimeOfDay("from"), To: randomTimeOfDay("to")}
		now := parseUTC("2026-01-01 00:00:00").Add(time.Duration(rapid.Int64Range(0, 365*24*3600).Draw(t, "second")) * time.Second)
		w, ok := newTestSchedule(t, h).WindowsAround(now).Next(now, Scope{})
		if !ok {
			t.Fatal("there is no next window")
		}
		shown := now.In(zone).Format(timeOfDayLayout)
		isInside := h.From <= shown && shown < h.To
		if h.To <= h.From {
			isInside = shown >= h.From || shown < h.To
		}
		if isInside && !w.Overlaps(now, 0) {
			t.Fatalf("at %s the clock in %s shows %s, within %s to %s, but the window is %v to %v", now, name, shown, h.From, h.To, w.From, w.To)
		}
		from, _ := time.Parse(timeOfDayLayout, h.From)
		to, _ := time.Parse(timeOfDayLayout, h.To)
		pause := (from.Sub(to) + 24*time.Hour) % (24 * time.Hour)
		if pause > 2*time.Hour && w.To.Sub(w.From) > 26*time.Hour {
			t.Fatalf("the window lasts %s", w.To.Sub(w.From))
		}
	})
}

func BenchmarkQuietNext(b *testing.B) {
	now := parseUTC("2026-12-04 12:00:00")
	h := newTestSchedule(b, config.QuietHours{Zone: "Europe/Helsinki", From: "22:30", To: "06:00", DataCentres: []string{"hml-1"}}).WindowsAround(now)
	b.ReportAllocs()
	for b.Loop() {
		h.Next(now, Scope{DataCentre: "hml-1"})
	}
}
