//go:build review3

package harness3

import (
	"context"
	"fmt"
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

// deployRun is the command of the deploy file.
var deployRun = []string{"target/cowslipfall", "edge", "--metrics-port", "7355"}

// Ports of each node. Nodes differ in their loopback addresses.
const (
	frontPort, readyPort, controlPort, directoryPort = 8227, 8220, 8229, 8224
	firstInnerPort, lastInnerPort                    = 7340, 7355
)

// node is a process of the project's own program.
type node struct {
	name, ip, zone string
	cmd            *exec.Cmd
	startedAt      time.Time
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, frontPort) }

// fleet is a deployment: its nodes, the store and the directory for settings and logs.
type fleet struct {
	prefix string // the first three numbers of the loopback addresses
	dir    string
	store  *store
	nodes  []*node
}

// newFleet starts the store. The addresses are drawn by the process ID, so that scripts that
// run side by side do not meet.
func newFleet() (*fleet, error) {
	pid := os.Getpid()
	f := &fleet{prefix: fmt.Sprintf("127.%d.%d", 20+pid%200, (pid/200)%250)}
	var err error
	if f.dir, err = os.MkdirTemp("", "review3-"); err != nil {
		return nil, err
	}
	f.store, err = startStore(f.prefix + ".1:8223")
	return f, err
}

// address returns a loopback address of the fleet.
func (f *fleet) address(host int) string { return fmt.Sprintf("%s.%d", f.prefix, host) }

// settings returns the settings file of a node of a small deployment.
func (f *fleet) settings(n *node) string {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", f.address(10+i), controlPort)))
	}
	return fmt.Sprintf(`nodeName = %q
role = "edge"
machineClass = "edge"
serves = ["edge","registry","control"]
ip = %q
zone = %q
region = "etelainen"
portRange = [%d,%d]
seedNodes = [%s]
bootstrap = true
discovery = "platform"
entrypoint = "registry"
heartbeatMs = 1200
[zones]
lahti-1 = "etelainen"
kouvola-1 = "etelainen"
[listenersMap]
front = "%s:%d"
readiness = "%s:%d"
controlPlane = "%s:%d"
directoryAddr = "%s:%d"
[limits]
cpuFraction = 0.4
cpuCores = 1
memoryMb = 284
maxFds = 4100
bandwidthMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
drainMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configDeadlineMs = 2000
retryRatio = 0.9
retryWindowS = 10
retryAllowance = 56
exposureRatio = 0.15
exposureAllowance = 30
rollbackMs = 5000
sessionS = 5
ttl_max_s = 5
[platform]
address = %q
form = "table"
writesPerS = 400
readsPerS = 2000
`, n.name, n.ip, n.zone, firstInnerPort, lastInnerPort, strings.Join(seeds, ","), n.ip, frontPort, n.ip, readyPort, n.ip, controlPort, n.ip, directoryPort, f.store.address)
}

// start starts a number of nodes in two data centres and waits until they are ready.
func (f *fleet) start(count int) error {
	for i := range count {
		n := &node{name: fmt.Sprintf("edge-%d", i+1), ip: f.address(10 + i), zone: []string{"lahti-1", "kouvola-1"}[i%2]}
		path := filepath.Join(f.dir, n.name+".toml")
		if err := os.WriteFile(path, []byte(f.settings(n)), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(f.dir, n.name+".log"))
		if err != nil {
			return err
		}
		n.cmd = exec.Command(deployRun[0], deployRun[1:]...)
		n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "COWSLIPFALL_CONFIG=" + path}
		n.cmd.Stdout, n.cmd.Stderr = log, log
		if err := n.cmd.Start(); err != nil {
			return err
		}
		n.startedAt = time.Now()
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, readyPort))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after 20 s", n.name)
}

// stop ends all nodes and removes the directory.
func (f *fleet) stop() {
	var ended sync.WaitGroup
	for _, n := range f.nodes {
		ended.Go(func() {
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			_ = n.cmd.Wait()
		})
	}
	ended.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// newChannels returns a client that opens a new channel for each request.
func newChannels() *http.Client {
	dialer := net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		},
	}}
}
