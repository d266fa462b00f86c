package measure

import "time"

// Simulated engines and deployments: two present ones and the two-year size.
var (
	userEngine = engineModel{
		slots: 16, memory: 200_000, stepBase: 10 * time.Millisecond, perStream: 1100 * time.Microsecond,
		perPromptToken: 50 * time.Microsecond, chunkTokens: 256, cacheBlocks: 2000,
	}
	designEngine = engineModel{
		slots: 64, memory: 600_000, stepBase: 8 * time.Millisecond, perStream: 400 * time.Microsecond,
		perPromptToken: 15 * time.Microsecond, chunkTokens: 512, cacheBlocks: 12_000,
	}
	virtanen  = size{name: "virtanen", nodes: 8, replicas: 9, dataCentres: 3, organisations: 10, engine: userEngine, peakLoad: 0.7, duration: 150 * time.Second}
	turnoflor = size{name: "turnoflor", nodes: 8, replicas: 12, dataCentres: 4, organisations: 10, engine: userEngine, peakLoad: 0.7, duration: 150 * time.Second}
	twoYears  = size{name: "two-years", nodes: 340, replicas: 600, dataCentres: 9, organisations: 300, engine: designEngine, peakLoad: 1, duration: 40 * time.Second}
)

// Requests that arrive during the warm-up or the cool-down are not counted.
const (
	warmUp   = 30 * time.Second
	coolDown = 20 * time.Second
)

// designRate is the peak rate of the two-year size in requests per second.
const designRate = 1900.0

// rankMix is each rank's share of the requests of a normal day.
var rankMix = [rankCount]float64{urgent: 0.3, normal: 0.4, background: 0.3}

// workSeconds estimates the engine time in seconds of one request of a rank in
// a full batch, with half of its prompt cached.
func (s size) workSeconds(rank int) float64 {
	workload := rankWorkloads[rank]
	prompt := float64((workload.templateBlocks+workload.ownBlocks)*blockTokens) / 2
	return workload.meanAnswer*s.engine.tokenSeconds() + prompt*s.engine.perPromptToken.Seconds()
}

// capacity estimates how many requests of one rank the deployment can serve per
// second.
func (s size) capacity(rank int) float64 { return float64(s.replicas) / s.workSeconds(rank) }

// normalRate returns the rate of a normal day in requests per second.
func (s size) normalRate() float64 {
	if s.peakLoad >= 1 {
		return designRate
	}
	meanSeconds := 0.0
	for rank, share := range rankMix {
		meanSeconds += share * s.workSeconds(rank)
	}
	return s.peakLoad * float64(s.replicas) / meanSeconds
}

// normalDay returns the traffic of a normal day: a few large organisations and
// many small ones.
func (s size) normalDay(behaviour refusalBehaviour) []source {
	weights := make([]float64, s.organisations)
	total := 0.0
	for i := range weights {
		weights[i] = 1
		if i < max(s.organisations/5, 1) {
			weights[i] = 6
		}
		total += weights[i]
	}
	var out []source
	for i, w := range weights {
		for rank, share := range rankMix {
			out = append(out, source{organisation: i, rank: rank, rate: s.normalRate() * share * w / total, end: s.duration, behaviour: behaviour})
		}
	}
	return out
}

// normalDayOfRank returns one rank's part of the normal day's traffic.
func (s size) normalDayOfRank(rank int) []source {
	var out []source
	for _, src := range s.normalDay(obeysRetryAfter) {
		if src.rank == rank {
			out = append(out, src)
		}
	}
	return out
}

// flood returns additional work of one rank from the given organisations, at a
// multiple of what the deployment can serve.
func (s size) flood(rank int, factor float64, organisations []int, behaviour refusalBehaviour) []source {
	var out []source
	for _, i := range organisations {
		out = append(out, source{organisation: i, rank: rank, rate: factor * s.capacity(rank) / float64(len(organisations)), start: floodStart, end: s.duration, behaviour: behaviour})
	}
	return out
}

const floodStart = 5 * time.Second

// allOrganisations returns the indexes of all organisations.
func (s size) allOrganisations() []int {
	out := make([]int, s.organisations)
	for i := range out {
		out[i] = i
	}
	return out
}
