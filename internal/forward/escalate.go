package forward

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/route"
)

// escalationReserve is the share of the retry budget that is kept for requests
// that would fail without a retry. An answer of a middle model is dropped only
// while twice that is left.
const escalationReserve = 0.15

// escalate reports whether the answer is dropped for one of a larger model, and
// selects that model.
func (x *exchange) escalate(ctx context.Context, s *streamState, a *attempt) bool {
	models := x.req.Route.Models
	if a.model == "" || x.started || s.model >= len(models)-1 {
		return false
	}
	confidence, err := strconv.ParseFloat(a.resp.Header.Get(x.f.opts.Headers.Confidence), 64)
	if err != nil {
		return false
	}
	if s.model > 0 {
		x.f.cascade.observeGain(a.model, confidence)
	}
	now := time.Now()
	d := x.decide(confidence, s, a, now)
	a.decision = &d
	if d.model == noModel || !x.canEscalate(ctx, s, models[d.model], now) {
		x.countAnswer(a, "accepted")
		return false
	}
	s.model, a.nextModel = d.model, models[d.model]
	if x.f.opts.Suspects.IsSuspected(x.req.sharedPartIDs) {
		x.suspectCrash(a, droppedProbeDelay, func() {})
	}
	// The same server may be asked for the other model.
	x.tried = x.tried[:len(x.tried)-1]
	x.addStep(a, "dropped at confidence "+strconv.FormatFloat(confidence, 'f', 0, 64))
	x.countAnswer(a, "dropped")
	return true
}

// decide decides on the answer of an attempt at the stream's current model.
func (x *exchange) decide(confidence float64, s *streamState, a *attempt, now time.Time) escalation {
	last := len(x.req.Route.Models) - 1
	table, largest := x.f.opts.Table(), x.f.model(x.req.Service, x.req.Route.Models[last])
	if !table.HasShortPauses(x.req.Service) || largest.Cost <= 0 {
		return x.f.cascade.decideByConstants(confidence, x.req, x.escalationCost(last, now))
	}
	if s.value == nil {
		s.value = x.f.cascade.value(x.req, table.Urgency(x.req.Rank), escalationCost{model: largest}.price(x.req))
	}
	chance := inadequacyProbability(confidence)
	if lowest := s.value.lowestChance(); chance < lowest {
		return escalation{chance: chance, threshold: lowest, model: noModel}
	}
	return s.value.choose(chance, x.req, x.largerModels(s.model, largest, a, now))
}

// largerModels returns the costs of asking the models that are larger than the
// present one, which the attempt has asked.
func (x *exchange) largerModels(model int, largest route.Model, a *attempt, now time.Time) []escalationCost {
	last := len(x.req.Route.Models) - 1
	var steps []escalationCost
	for i := model + 1; i < last; i++ {
		// A model without a price cannot be weighed.
		if step := x.middleCost(i, largest, now); step.model.Cost > 0 {
			steps = append(steps, step)
		}
	}
	steps = append(steps, x.escalationCost(last, now))
	for i := range steps {
		steps[i].excludeOwnWait(a)
	}
	return steps
}

// escalationCost returns the cost of asking a larger model of the route.
func (x *exchange) escalationCost(index int, now time.Time) escalationCost {
	name := x.req.Route.Models[index]
	cost := escalationCost{index: index, model: x.f.model(x.req.Service, name), timeLeft: x.req.Route.Target - now.Sub(x.req.Arrived), gain: 1}
	if m, read := x.f.opts.Pool.Choose(x.query(name, now), now); m != nil {
		cost.member, cost.read, cost.wait = m, read, m.Wait(now)
	}
	return cost
}

// excludeOwnWait subtracts the attempt's own prompt from the wait at its server:
// a dropped answer ends it.
func (e *escalationCost) excludeOwnWait(a *attempt) {
	if e.member == a.member {
		e.wait = max(e.wait-a.pendingPrefill, 0)
	}
}

// middleCost returns the cost of asking a model between the present one and the
// largest.
func (x *exchange) middleCost(index int, largest route.Model, now time.Time) escalationCost {
	cost := x.escalationCost(index, now)
	cost.gain = x.f.cascade.gain(cost.model.Name)
	if cost.read > 0 {
		// The read time for comparisons of engines is too long for a fast model.
		cold := x.f.readSpeeds.comparisonCost(cost.model.Name, x.req.PromptTokens)
		tokens := uncachedTokens(x.req.PromptTokens, cost.read, cold)
		cost.read = x.f.readSpeeds.readTimeOf(cost.model, largest, tokens)
	}
	return cost
}

// canEscalate reports whether attempts, the retry budget and the servers allow to
// ask a larger model. After a middle model one attempt is kept for a failure.
func (x *exchange) canEscalate(ctx context.Context, s *streamState, model string, now time.Time) bool {
	sends, reserve := x.sends, escalationReserve
	if s.model > 0 {
		sends, reserve = sends+1, 2*reserve
	}
	return sends < x.req.Route.MaxAttempts && x.f.opts.Budget.RemainingShare(x.req.Service, now) >= reserve && x.reserveNext(ctx, model)
}

// maxRankLabel bounds the ranks that are told apart in metrics.
const maxRankLabel = 9

// countAnswer counts an answer that was decided on.
func (x *exchange) countAnswer(a *attempt, result string) {
	rank := min(max(x.req.Route.Rank, 0), maxRankLabel)
	x.f.opts.Metrics.Answers.WithLabelValues(strconv.Itoa(rank), a.model, result).Inc()
}

// roundChance returns a probability for the log, with three digits.
func roundChance(p float64) *float64 {
	p = math.Round(p*1000) / 1000
	return &p
}
