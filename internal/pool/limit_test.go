package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/permit"
)

// Answers overtake each other: an answer to a request from before the limit was known must
// not lift it, and a lower limit counts at once.
func TestOldAnswerDoesNotLiftLimit(t *testing.T) {
	is, p := is.New(t), New()
	p.Update(engines(1), start)
	m := p.Members("s")[0]
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		limit      float64
		began, now int
		want       float64
	}{
		{5, 1, 10, 5}, {permit.NoLimit, 9, 11, 5}, {7, 9, 12, 5}, {2, 3, 13, 2}, {7, 12, 14, 2}, {7, 14, 15, 7}, {permit.NoLimit, 16, 17, permit.NoLimit},
	} {
		m.RecordLimit(c.limit, at(c.began), at(c.now))
		is.Equal(m.Limit(), c.want)
	}
}

// A limit that another node learned applies to that start of the server only, also if it
// arrives before the server's entry.
func TestLimitOfAnotherNodeAppliesToOneStart(t *testing.T) {
	is, p := is.New(t), New()
	list := engines(2)
	list[0].Started, list[1].Started = 5, 6
	p.SetLimit(list[0].ID, 5, 2, start)
	p.SetLimit(list[1].ID, 5, 2, start)
	p.Update(list, start)
	is.Equal(p.Member(list[0].ID).Limit(), 2.0)
	is.Equal(p.Member(list[1].ID).Limit(), permit.NoLimit)
	list[0].Started = 9
	p.Update(list, start.Add(time.Second))
	is.Equal(p.Member(list[0].ID).Limit(), permit.NoLimit)
}

// A session stays with its version where that version has a server that may have a permit.
func TestLimitedServersOfPreferredVersionComeFirst(t *testing.T) {
	is, p := is.New(t), New()
	list := engines(6)
	for i := range list {
		list[i].Version = []string{"v1", "v2"}[i%2]
	}
	p.Update(list, start)
	is.True(p.HasUnlimited(Query{Service: "s"}, start))
	for _, s := range list {
		p.SetLimit(s.ID, s.Started, 1, start)
	}
	is.True(!p.HasUnlimited(Query{Service: "s"}, start))
	got := p.Limited(Query{Service: "s", Versions: Versions{Prefer: "v2"}}, start)
	is.Equal(len(got), 6)
	for i, m := range got {
		is.Equal(m.Version == "v2", i < 3)
	}
}

// A limited server that refused a permit is passed over until the next one, but not any
// more once its limit has ended.
func TestServerWithoutPermitIsPassedOver(t *testing.T) {
	is, p := is.New(t), New()
	list := engines(2)
	p.Update(list, start)
	q := Query{Service: "s", Draw: drawHalf}
	a, b := p.Member(list[0].ID), p.Member(list[1].ID)
	for _, m := range []*Member{a, b} {
		m.SetLimit(2, start)
		m.HoldOff(time.Second, start)
	}
	is.True(choose(p, q, start) == nil)
	is.Equal(p.CountSkipped(q, start).Limited, 2)
	is.True(choose(p, q, start.Add(time.Second)) != nil)
	b.SetLimit(permit.NoLimit, start)
	is.Equal(choose(p, q, start), b)
	q.ExcludeLimited = true
	is.Equal(choose(p, q, start.Add(time.Second)), b)
}
