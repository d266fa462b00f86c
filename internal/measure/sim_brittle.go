package measure

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/pool"
)

// BrittleTrial is a fleet before servers that fall over if they have to refuse too many
// requests in a second.
type BrittleTrial struct {
	Nodes, Servers, Slots int
	// Refusals is how many requests a server may refuse in a second.
	Refusals float64
	// Load is the rate of requests as a part of what the servers can take.
	Load float64
	// HeedsBrittleness is unset for nodes that treat brittle servers as any others.
	HeedsBrittleness bool
}

// BrittleResult is what happened from brittleGrace on.
type BrittleResult struct {
	Falls int
	// Served is the number of served requests as a part of what the servers can take.
	Served float64
}

const (
	brittleDuration = 20 * time.Second
	brittleGrace    = 3 * time.Second
	brittleWork     = 40 * time.Millisecond
	brittleDownTime = 3 * time.Second
	brittleLink     = 4 * time.Millisecond // one way
	// brittleRoomLoss is the part of its slots that a brittle server loses halfway.
	brittleRoomLoss = 0.34
)

// simBrittleServer is a server of the trial.
type simBrittleServer struct {
	running   int
	refusals  []time.Time
	downUntil time.Time
}

// brittleEvent is something that happens at a time.
type brittleEvent struct {
	at time.Time
	do func(now time.Time)
}

type brittleEvents []brittleEvent

func (e brittleEvents) Len() int           { return len(e) }
func (e brittleEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e brittleEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *brittleEvents) Push(x any)        { *e = append(*e, x.(brittleEvent)) }
func (e *brittleEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Run plays the trial.
func (t BrittleTrial) Run(seed uint64) BrittleResult {
	random := rand.New(rand.NewPCG(seed, 11))
	began := time.Unix(1000, 0)
	servers := make([]*simBrittleServer, t.Servers)
	var list []pool.Server
	for i := range servers {
		servers[i] = &simBrittleServer{}
		list = append(list, pool.Server{ID: string(rune('a'+i%26)) + string(rune('a'+i/26)), Service: "s", DataCentre: "a", Slots: t.Slots})
	}
	index := map[string]int{}
	for i, s := range list {
		index[s.ID] = i
	}
	nodes := make([]*pool.Pool, t.Nodes)
	for i := range nodes {
		nodes[i] = pool.New()
		nodes[i].Update(list, began)
	}
	var result BrittleResult
	served := 0
	events := &brittleEvents{}
	schedule := func(at time.Time, do func(time.Time)) { heap.Push(events, brittleEvent{at, do}) }
	arrive := func(p *pool.Pool, m *pool.Member, sent time.Time) {
		schedule(sent.Add(brittleLink), func(now time.Time) {
			s := servers[index[m.ID]]
			slots := t.Slots
			if now.Sub(began) > brittleDuration/2 {
				slots -= int(brittleRoomLoss * float64(slots))
			}
			if now.Before(s.downUntil) {
				schedule(now.Add(brittleLink), func(now time.Time) {
					m.EndRequest()
					m.RecordFailure(now, sent, random.Float64())
				})
				return
			}
			isTaken := s.running < slots
			answered := now
			if isTaken {
				s.running++
				answered = now.Add(brittleWork/2 + time.Duration(random.Float64()*float64(brittleWork)))
				schedule(answered, func(time.Time) { s.running-- })
			} else if result.addRefusal(s, t.Refusals, now, began) {
				s.downUntil = now.Add(brittleDownTime)
			}
			running := s.running
			schedule(answered.Add(brittleLink), func(now time.Time) {
				if isTaken && now.Sub(began) > brittleGrace {
					served++
				}
				if t.HeedsBrittleness {
					m.RecordBrittle(t.Refusals, now)
					if !isTaken {
						m.RecordRefusal(t.Nodes, now, random.Float64())
					}
				}
				m.RecordLoad(pool.Load{Running: running, Slots: t.Slots, At: now})
				m.EndRequest()
				if isTaken {
					m.RecordSuccess()
				}
			})
		})
	}
	capacity := float64(t.Servers*t.Slots) / brittleWork.Seconds()
	for at := 0.0; at < brittleDuration.Seconds(); at += random.ExpFloat64() / (t.Load * capacity) {
		p := nodes[random.IntN(t.Nodes)]
		schedule(began.Add(time.Duration(at*float64(time.Second))), func(now time.Time) {
			m, _ := p.Choose(pool.Query{Service: "s", DataCentre: "a", Draw: random.Float64}, now)
			if m != nil && m.BeginRequest(now, 0) {
				arrive(p, m, now)
			}
		})
	}
	for events.Len() > 0 {
		e := heap.Pop(events).(brittleEvent)
		e.do(e.at)
	}
	result.Served = float64(served) / (capacity * (brittleDuration - brittleGrace).Seconds())
	return result
}

// addRefusal counts a refusal and reports whether the server falls over.
func (r *BrittleResult) addRefusal(s *simBrittleServer, most float64, now, began time.Time) bool {
	for len(s.refusals) > 0 && now.Sub(s.refusals[0]) >= time.Second {
		s.refusals = s.refusals[1:]
	}
	s.refusals = append(s.refusals, now)
	if float64(len(s.refusals)) <= most || now.Sub(began) < brittleGrace {
		return false
	}
	r.Falls++
	s.refusals = nil
	return true
}
