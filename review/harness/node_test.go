//go:build review

package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is one machine of the deployment: its settings file and its process.
type node struct {
	name, ip                      string
	callers, readiness, directory string
	settings, metricsPort         string
	mu                            sync.Mutex
	cmd                           *exec.Cmd
	exited                        chan struct{}
	log                           bytes.Buffer
}

const settingsText = `nodeName = %q
role = "edge"
machineClass = "edge"
serves = ["edge","registry","control"]
ip = %q
zone = "lahti-1"
region = "etelainen"
portRange = [%d,%d]
seedNodes = ["127.0.0.11:%d"]
bootstrap = false
heartbeatMs = 1200
[zones]
lahti-1 = "etelainen"
[listenersMap]
front = %q
readiness = %q
controlPlane = "%s:%d"
directoryAddr = %q
[limits]
cpuFraction = 0.4
cpuCores = 1
memoryMb = 284
maxFds = 4100
bandwidthMbps = 1000.0
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
`

// freePorts returns ports of 127.0.0.1 that were free.
func freePorts(count int) []int {
	var out []int
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		check(err)
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	slices.Sort(out)
	return out
}

// newNodes writes the settings of some nodes and starts them.
func newNodes(count int, dir, storeAddress string) []*node {
	p := freePorts(6)
	var out []*node
	for i := range count {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
		n := &node{name: fmt.Sprintf("edge-%d", i+1), ip: ip, callers: at(p[1]), readiness: at(p[2]), directory: at(p[3])}
		n.metricsPort = strconv.Itoa(p[5])
		n.settings = filepath.Join(dir, n.name+".toml")
		text := fmt.Sprintf(settingsText, n.name, ip, p[0], p[0], p[4], n.callers, n.readiness, ip, p[4], n.directory, storeAddress)
		check(os.WriteFile(n.settings, []byte(text), 0o600))
		n.start()
		out = append(out, n)
	}
	return out
}

// Write collects the process's log.
func (n *node) Write(b []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.Write(b)
}

func (n *node) start() {
	// The deploy file's command, with a free port for the metrics.
	cmd := exec.Command("target/cowslipfall", "edge", "--metrics-port", n.metricsPort)
	cmd.Env = []string{"COWSLIPFALL_CONFIG=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = n, n
	check(cmd.Start())
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

func (n *node) signal(s syscall.Signal) { _ = syscall.Kill(n.pid(), s) }

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	<-exited
}

// terminate sends SIGTERM and waits for the end of the process; after gracePeriodS it is killed.
func (n *node) terminate() {
	n.signal(syscall.SIGTERM)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(8 * time.Second):
		n.kill()
	}
}

// isReady asks the readiness interface as the platform does.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addresses asks the node's directory as a consumer does.
func (n *node) addresses() []string {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.directory + "/lookup?name=booking.example&region=etelainen&zone=lahti-1")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// awaitReady waits until all nodes are ready, and reports whether they are within a time.
func awaitReady(nodes []*node, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(nodes, func(n *node) bool { return !n.isReady() }) {
			return true
		}
	}
	return false
}

// logLines returns the log lines with a text.
func (n *node) logLines(text string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for line := range strings.SplitSeq(n.log.String(), "\n") {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}
