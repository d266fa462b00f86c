package membership

import (
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// segmentBytes is the size of the TCP and IP headers of a segment, and of an
// acknowledgement.
const segmentBytes = 52

// links counts the bytes that nodes send each other as net/rpc encodes them.
type links struct {
	encoders map[[2]string]*gob.Encoder
	bytes    map[string]int
	link     [2]string
}

// Write counts bytes for both ends.
func (l *links) Write(p []byte) (int, error) {
	l.bytes[l.link[0]] += len(p)
	l.bytes[l.link[1]] += len(p)
	return len(p), nil
}

// send counts one message with the headers of its single segment and of one
// acknowledgement.
func (l *links) send(from, to string, header, message any) {
	l.link = [2]string{from, to}
	e := l.encoders[l.link]
	if e == nil {
		e = gob.NewEncoder(l)
		l.encoders[l.link] = e
	}
	_ = e.Encode(header)
	_ = e.Encode(message)
	l.bytes[from] += 2 * segmentBytes
	l.bytes[to] += 2 * segmentBytes
}

// benchFleet is a fleet of tables with owners of replicas.
type benchFleet struct {
	*mesh
	links  *links
	random *rand.Rand
	second int
}

const (
	benchCentres  = 9
	benchRegions  = 3
	benchReplicas = 600
	benchLimit    = 64
)

func newBenchFleet(nodes int) *benchFleet {
	f := &benchFleet{mesh: newMesh(), random: rand.New(rand.NewPCG(1, 2)), links: &links{encoders: map[[2]string]*gob.Encoder{}, bytes: map[string]int{}}}
	site := func(i int) (string, string) {
		return fmt.Sprintf("dc-%d", i%benchCentres), fmt.Sprintf("region-%d", i%benchCentres%benchRegions)
	}
	for i := range nodes {
		centre, region := site(i)
		f.start(fmt.Sprintf("entry-%d", i), centre, region, 1_790_000_000_000_000_000)
	}
	var vms []infra.VM
	for i := range benchReplicas {
		centre, region := site(i)
		vms = append(vms, infra.VM{ID: fmt.Sprintf("engine-%d", i), Address: "10.0.0.1:8000", DataCentre: centre, Region: region, Role: infra.RoleBackend, Pool: "engines"})
	}
	f.tables["entry-0"].SetVMs(f.now, f.now, vms)
	return f
}

// run advances the fleet by seconds. Replicas carry about the given number of streams,
// of which a tenth ends or begins each second.
func (f *benchFleet) run(seconds, streams int) {
	for range seconds {
		f.now = f.now.Add(HeartbeatInterval)
		f.second++
		for _, id := range f.ids {
			t := f.tables[id]
			f.publish(t, id, streams)
			t.Tick(f.now)
		}
		for _, id := range f.ids {
			for _, to := range f.tables[id].Snapshot().GossipPeers(id) {
				if to.IsRemote && f.second%2 == 1 {
					continue
				}
				f.exchange(id, to)
			}
		}
	}
}

func (f *benchFleet) exchange(id string, to Peer) {
	from, other := f.tables[id], f.tables[to.Name]
	for {
		message := from.Compose(to, 1)
		reply := other.Answer(f.now, message, 1)
		from.Merge(f.now, reply)
		f.links.send(id, to.Name, rpc.Request{ServiceMethod: "Node.Exchange", Seq: uint64(f.second)}, message)
		f.links.send(to.Name, id, rpc.Response{ServiceMethod: "Node.Exchange", Seq: uint64(f.second)}, reply)
		if !message.More && !reply.More {
			return
		}
	}
}

// publish publishes the replicas that a node owns, with a load that varies at random.
func (f *benchFleet) publish(t *Table, id string, streams int) {
	var states []wire.ReplicaState
	for _, vm := range t.Snapshot().Assigned(id) {
		s := wire.ReplicaState{ID: vm.ID, Limit: benchLimit, Healthy: true}
		if streams > 0 {
			s.Running = t.replicas[vm.ID].running() + f.random.IntN(9) - 4
			s.Running += (streams - s.Running) / 10
			wait := time.Duration(f.random.IntN(200)) * time.Millisecond
			s.Waits = []time.Duration{0, 0, wait}
		}
		states = append(states, s)
	}
	t.Publish(f.now, states)
}

func (r *replicaEntry) running() int {
	if r == nil {
		return 0
	}
	return r.update.State.Running
}

// BenchmarkFleetSecond measures one second of a whole fleet's gossip: bytes on the
// wire of the mean and the busiest node, and processor time per node.
func BenchmarkFleetSecond(b *testing.B) {
	for _, streams := range []int{0, 43} {
		for _, nodes := range []int{90, 180, 340, 680} {
			b.Run(fmt.Sprintf("nodes=%d/streams=%d", nodes, streams), func(b *testing.B) {
				f := newBenchFleet(nodes)
				f.run(14, streams)
				clear(f.links.bytes)
				start, seconds := time.Now(), 0
				for b.Loop() {
					f.run(1, streams)
					seconds++
				}
				spent := time.Since(start)
				total, busiest := 0, 0
				for _, n := range f.links.bytes {
					total += n
					busiest = max(busiest, n)
				}
				b.ReportMetric(float64(total)/float64(seconds*nodes), "bytes/node/s")
				b.ReportMetric(float64(busiest)/float64(seconds), "busiest-bytes/s")
				b.ReportMetric(100*spent.Seconds()/float64(seconds*nodes), "cpu-%/node")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
