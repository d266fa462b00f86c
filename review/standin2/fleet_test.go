//go:build review2

package standin2

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: the store, replicas and nodes, and the record of a run.
type fleet struct {
	dir      string // temporary
	record   *os.File
	mu       sync.Mutex
	store    *store
	replicas map[string]*process
	nodes    []*process
	ports    map[string]int
	stopped  chan struct{}
}

// process is a process that this run started.
type process struct {
	name, address string
	entry         map[string]any // of a replica
	cmd           *exec.Cmd
	done          chan struct{}
	ended         bool // by the run
}

func newFleet(dir string) (*fleet, error) {
	temp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	st, err := newStore("127.0.0.1")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: temp, record: record, store: st, replicas: map[string]*process{}, ports: map[string]int{}, stopped: make(chan struct{})}
	go f.heartbeats()
	return f, nil
}

// say writes a line to the record.
func (f *fleet) say(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%d %s\n", time.Now().UnixMilli(), fmt.Sprintf(format, args...))
}

// close ends all processes.
func (f *fleet) close() {
	close(f.stopped)
	for _, n := range f.nodes {
		f.end(n)
	}
	f.mu.Lock()
	list := f.replicas
	f.mu.Unlock()
	for _, r := range list {
		f.end(r)
	}
	_ = f.record.Close()
	_ = os.RemoveAll(f.dir)
}

// end kills a process and waits for it.
func (f *fleet) end(p *process) {
	f.mu.Lock()
	p.ended = true
	f.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

func start(name, log string, env []string, program string, args ...string) (*process, error) {
	out, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr, cmd.Env = out, out, env
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() { _ = cmd.Wait(); _ = out.Close(); close(p.done) }()
	return p, nil
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// heartbeatMS is how often a replica writes its entry.
const heartbeatMS = 1200

// startReplica starts a replica and registers it. address is that of an earlier one, or "".
func (f *fleet) startReplica(id, service, zone, address string, options ...string) (*process, error) {
	if address == "" {
		address = fmt.Sprintf("127.0.0.1:%d", freePort("127.0.0.1"))
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args := append([]string{"replica", "id=" + id, "address=" + address, "log=" + f.runsLog()}, options...)
	p, err := start(id, filepath.Join(f.dir, id+".out"), nil, self, args...)
	if err != nil {
		return nil, err
	}
	p.address = address
	p.entry = map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": 64, "state": "ready",
		"warmupLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
	f.mu.Lock()
	f.replicas[id] = p
	f.mu.Unlock()
	return p, waitFor(5*time.Second, func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
			f.store.put("servers", id, p.entry)
			f.say("replica %s started at %s", id, address)
		}
		return err == nil
	})
}

// heartbeats writes the entries of live replicas, and drops those that were silent for three
// intervals.
func (f *fleet) heartbeats() {
	silent := map[string]int{}
	for {
		select {
		case <-f.stopped:
			return
		case <-time.After(heartbeatMS * time.Millisecond):
		}
		f.mu.Lock()
		for id, p := range f.replicas {
			select {
			case <-p.done:
				if silent[id]++; silent[id] == 3 {
					f.store.drop("servers", id)
				}
			default:
				silent[id] = 0
				p.entry["sequence"] = p.entry["sequence"].(int) + 1
				f.store.put("servers", id, p.entry)
			}
		}
		f.mu.Unlock()
	}
}

// kill ends a replica as a crash does.
func (f *fleet) kill(p *process) {
	_ = p.cmd.Process.Kill()
	<-p.done
	f.say("replica %s was killed", p.name)
}

func (f *fleet) runsLog() string { return filepath.Join(f.dir, "runs.log") }

// startNodes starts the edge nodes of the deploy file, each at a loopback address of its own.
func (f *fleet) startNodes(count int) error {
	net16 := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
	base := net16 + ".1"
	for _, name := range []string{"front", "readiness", "controlPlane", "directoryAddr"} {
		f.ports[name] = freePort(base)
	}
	for i := 1; i <= count; i++ {
		ip := fmt.Sprintf("%s.%d", net16, i)
		path := filepath.Join(f.dir, fmt.Sprintf("node-%d.toml", i))
		seeds := []string{}
		for j := 1; j <= min(count, 3); j++ {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", net16, j, f.ports["controlPlane"])))
		}
		if err := os.WriteFile(path, []byte(f.settings(i, ip, strings.Join(seeds, ","))), 0o644); err != nil {
			return err
		}
		env := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "COWSLIPFALL_CONFIG=" + path}
		p, err := start(fmt.Sprintf("node-%d", i), filepath.Join(f.dir, fmt.Sprintf("node-%d.log", i)), env, "target/cowslipfall", "edge", "--metrics-port", "7355")
		if err != nil {
			return err
		}
		p.address = ip
		f.nodes = append(f.nodes, p)
	}
	for _, n := range f.nodes {
		url := fmt.Sprintf("http://%s:%d/readyz", n.address, f.ports["readiness"])
		if err := waitFor(20*time.Second, func() bool {
			resp, err := http.Get(url)
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}); err != nil {
			return fmt.Errorf("%s is not ready: %w", n.name, err)
		}
	}
	return nil
}

func (f *fleet) settings(i int, ip, seeds string) string {
	zones := []string{"lahti-1", "kouvola-1", "hml-1"}
	p := f.ports
	return fmt.Sprintf(`nodeName = "edge-%d"
role = "edge"
machineClass = "edge"
serves = ["edge","registry","control"]
ip = %q
zone = %q
region = "etelainen"
portRange = [7340,7355]
seedNodes = [%s]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entrypoint = "registry"
heartbeatMs = %d
[zones]
lahti-1 = "etelainen"
kouvola-1 = "etelainen"
hml-1 = "etelainen"
[listenersMap]
front = "%s:%d"
readiness = "%s:%d"
controlPlane = "%s:%d"
directoryAddr = "%s:%d"
`, i, ip, zones[(i-1)%3], seeds, heartbeatMS, ip, p["front"], ip, p["readiness"], ip, p["controlPlane"], ip, p["directoryAddr"]) + fmt.Sprintf(restOfSettings, f.store.address)
}

// restOfSettings holds the figures of a small deployment.
const restOfSettings = `[limits]
cpuFraction = 0.4
cpuCores = 1
memoryMb = 284
maxFds = 4100
bandwidthMbps = 1000.0
diskMb = 0
[faultTolerance]
machineCount = 1
zones = 0
regionCount = 0
[bounds]
seedLagS = 3
reuseDelayS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configDeadlineMs = 2000
rollbackSlackMs = 250
partitionMaxMs = 5000
strictRevocation = false
revokeMs = 5000
retryRatio = 0.9
retryWindowS = 10
retryAllowance = 56
exposureRatio = 0.15
exposureAllowance = 30
rollbackMs = 5000
recoveryS = 12
maxDelayMs = 120
retryAfterS = 9.5
sessionS = 5
ttl_max_s = 5
[platform]
address = %q
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partWritesPerS = 200
rowBytes = 65536
crossPartition = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
`

func waitFor(limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %s", limit)
}

// answer is what a client received.
type answer struct {
	status   int
	body     string
	seal     string
	complete bool // the answer ended as HTTP says, not by a broken channel
	err      error
}

// send sends one request of a client on a new channel and reads its answer to the end.
func (f *fleet) send(n *process, method, path, id string, timeout time.Duration, header map[string]string, body string) answer {
	q, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", n.address, f.ports["front"], path), strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	q.Host = host
	q.Header.Set("X-Cowslipfall-Attempt-Id", id)
	q.Header.Set("X-Cowslipfall-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	q.Header.Set("X-Cowslipfall-Credential", key)
	for name, value := range header {
		q.Header.Set(name, value)
	}
	f.say("client %s sends %s %s to %s", id, method, path, n.name)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: timeout + time.Second}
	resp, err := client.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(raw), resp.Header.Get("X-Cowslipfall-Response-Seal"), err == nil, err}
}

// Names of the example deployment.
const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMS, targetMS, attempts int, resume bool) map[string]any {
	r := map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "routeType": kind, "timeoutMs": timeoutMS, "targetLatencyMs": targetMS,
		"priority": 0, "service": service, "maxAttempts": attempts, "anonymous": false,
	}
	if kind == "streaming" {
		r["sessionAffinity"], r["streamResume"], r["itlTargetMs"] = true, resume, 2000
	}
	return r
}

// configure writes the operator's configuration with these routes.
func (f *fleet) configure(version int, routes ...map[string]any) {
	f.store.put("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "engines", "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "upstreamTls": false,
				"runtime": map[string]any{"slots": 64, "kvCapacity": 338144, "kvTokenBytes": 163840, "bandwidthMbps": 550000.0, "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0,
					"models": []any{map[string]any{"name": "daka510000", "cost": 0.02}}}},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "upstreamTls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1}},
	})
}
