package measure

import "time"

// The deployments of trials.
var (
	userEngine = engineModel{
		slots: 16, memory: 200_000, base: 10 * time.Millisecond, perStream: 1100 * time.Microsecond,
		perToken: 50 * time.Microsecond, chunk: 256, cache: 2000,
	}
	designEngine = engineModel{
		slots: 64, memory: 600_000, base: 8 * time.Millisecond, perStream: 400 * time.Microsecond,
		perToken: 15 * time.Microsecond, chunk: 512, cache: 12_000,
	}
	virtanen  = size{name: "virtanen", nodes: 8, replicas: 9, dataCentres: 3, organisations: 10, engine: userEngine, peak: 0.7, span: 150 * time.Second}
	turnoflor = size{name: "turnoflor", nodes: 8, replicas: 12, dataCentres: 4, organisations: 10, engine: userEngine, peak: 0.7, span: 150 * time.Second}
	twoYears  = size{name: "two-years", nodes: 340, replicas: 600, dataCentres: 9, organisations: 300, engine: designEngine, peak: 1, span: 40 * time.Second}
)

// Times of a trial: what begins in the warm-up or the tail is not counted.
const (
	warmUp = 30 * time.Second
	tail   = 20 * time.Second
)

// designRate is the two-year size's peak in requests a second.
const designRate = 1900.0

// mix is the share of each rank in a normal day's requests.
var mix = [simRanks]float64{urgent: 0.3, normal: 0.4, background: 0.3}

// work estimates the engine time of one request of a rank in a full batch, in
// seconds, with half of its prompt cached.
func (s size) work(rank int) float64 {
	k := kinds[rank]
	prompt := float64((k.template+k.own)*blockTokens) / 2
	return k.answer*s.engine.tokenWork() + prompt*s.engine.perToken.Seconds()
}

// capacity estimates how many requests of one rank a second the whole
// deployment can serve.
func (s size) capacity(rank int) float64 { return float64(s.replicas) / s.work(rank) }

// normalRate is the normal day's rate in requests a second.
func (s size) normalRate() float64 {
	if s.peak >= 1 {
		return designRate
	}
	mean := 0.0
	for rank, share := range mix {
		mean += share * s.work(rank)
	}
	return s.peak * float64(s.replicas) / mean
}

// normalDay is the normal day's traffic: a few large organisations and many
// small ones.
func (s size) normalDay(manner manner) []source {
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
		for rank, share := range mix {
			out = append(out, source{organisation: i, rank: rank, rate: s.normalRate() * share * w / total, to: s.span, manner: manner})
		}
	}
	return out
}

// alone is the normal day's traffic of one rank.
func (s size) alone(rank int) []source {
	var out []source
	for _, src := range s.normalDay(obeys) {
		if src.rank == rank {
			out = append(out, src)
		}
	}
	return out
}

// flood is more work of one rank from some organisations, as a multiple of
// what the deployment can take.
func (s size) flood(rank int, times float64, organisations []int, manner manner) []source {
	var out []source
	for _, i := range organisations {
		out = append(out, source{organisation: i, rank: rank, rate: times * s.capacity(rank) / float64(len(organisations)), from: floodStart, to: s.span, manner: manner})
	}
	return out
}

const floodStart = 5 * time.Second

// everyone lists all organisations.
func (s size) everyone() []int {
	out := make([]int, s.organisations)
	for i := range out {
		out[i] = i
	}
	return out
}
