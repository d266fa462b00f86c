// Package process tests a fleet whose nodes and stand-ins run as separate operating
// system processes and receive real signals.
package process

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/node"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

const (
	innerSecret  = "process-inner-secret"
	operatorKey  = "process-operator-key"
	eventTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	organisation = "virtanen-lahti"
)

// binary is the path of the program under test, which TestMain builds once.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cowslipfall")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "cowslipfall")
	build := exec.Command("go", "build", "-o", binary, "github.com/cowslipfall/cowslipfall/cmd/cowslipfall")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running program with the addresses it printed, by name.
type process struct {
	cmd       *exec.Cmd
	addresses map[string]string
	exited    chan error // receives the result of Wait
}

// startProcess starts the program and reads the line with its addresses.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	is := is.New(t)
	cmd := exec.Command(binary, args...)
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	if testing.Verbose() {
		cmd.Stderr = os.Stderr
	}
	is.NoErr(cmd.Start())
	p := &process{cmd: cmd, addresses: map[string]string{}, exited: make(chan error, 1)}
	reader := bufio.NewReader(out)
	line, err := reader.ReadString('\n')
	is.NoErr(err) // the program printed its addresses
	for field := range strings.FieldsSeq(line) {
		name, address, _ := strings.Cut(field, "=")
		p.addresses[name] = address
	}
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		p.exited <- cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	})
	return p
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	is.New(t).NoErr(p.cmd.Process.Signal(s))
}

// fleet is a deployment of stand-ins and entry nodes, one process each.
type fleet struct {
	platform *process
	engines  []*process
	services []*process
	nodes    []*process
}

var dataCentres = []string{"lahti-1", "kouvola-1", "hml-1"}

// startFleet starts stand-ins and entry nodes, applies the example configuration
// without quiet hours, and waits until all nodes are ready.
func startFleet(t *testing.T, nodes, engines, services int, engineFlags ...string) *fleet {
	t.Helper()
	f := &fleet{platform: startProcess(t, "standin", "platform", "--vm-lag", "200ms")}
	var vms []infra.VM
	addVM := func(p *process, pool string, i int) {
		vms = append(vms, infra.VM{ID: fmt.Sprintf("%s-%d", pool, i), Address: p.addresses["address"], DataCentre: dataCentres[i%3], Region: "etelainen", Role: infra.RoleBackend, Pool: pool})
	}
	for i := range engines {
		args := append([]string{"standin", "engine", "--id", fmt.Sprintf("engine-%d", i), "--target", "kuski@v1,kuski@v2,emanta@v3"}, engineFlags...)
		f.engines = append(f.engines, startProcess(t, args...))
		addVM(f.engines[i], "mallipalvelin", i)
	}
	for i := range services {
		f.services = append(f.services, startProcess(t, "standin", "service", "--id", fmt.Sprintf("service-%d", i)))
		addVM(f.services[i], "kirjauspalvelu", i)
	}
	f.setVMs(t, vms)
	f.mustApplyConfig(t, copyConfigWithoutQuietHours(t))
	for i := range nodes {
		f.nodes = append(f.nodes, f.startNode(t, fmt.Sprintf("entry-%d", i), dataCentres[i%3]))
	}
	f.waitReady(t, engines+services)
	return f
}

// startNode starts one more entry node.
func (f *fleet) startNode(t *testing.T, id, dataCentre string) *process {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "settings.toml")
	content := fmt.Sprintf("id = %q\ndata_centre = %q\nregion = \"etelainen\"\nlisten = \"127.0.0.1:0\"\ninner_listen = \"127.0.0.1:0\"\noperator_listen = \"127.0.0.1:0\"\nplatform = %q\ninner_secret = %q\noperator_key = %q\nlog_level = \"warn\"\n",
		id, dataCentre, f.platformURL(), innerSecret, operatorKey)
	is.New(t).NoErr(os.WriteFile(settings, []byte(content), 0o600))
	return startProcess(t, "serve", "--settings", settings)
}

// platformURL returns the platform's URL.
func (f *fleet) platformURL() string { return "http://" + f.platform.addresses["address"] }

// setVMs sets the list of VMs at the platform.
func (f *fleet) setVMs(t *testing.T, vms []infra.VM) {
	t.Helper()
	raw, err := json.Marshal(vms)
	is.New(t).NoErr(err)
	resp, err := http.Post(f.platformURL()+standin.PathSetVMs, "application/json", bytes.NewReader(raw))
	is.New(t).NoErr(err)
	resp.Body.Close()
}

// copyConfigWithoutQuietHours copies the example configuration without its quiet
// hours, so that tests also pass at night, and returns the new folder.
func copyConfigWithoutQuietHours(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	files, err := filepath.Glob("../../examples/virtanen/*.toml")
	is.New(t).NoErr(err)
	for _, file := range files {
		if strings.Contains(file, "quiet") {
			continue
		}
		raw, err := os.ReadFile(file)
		is.New(t).NoErr(err)
		is.New(t).NoErr(os.WriteFile(filepath.Join(dir, filepath.Base(file)), raw, 0o600))
	}
	return dir
}

// mustApplyConfig runs "config apply" and fails the test on an error.
func (f *fleet) mustApplyConfig(t *testing.T, dir string) {
	t.Helper()
	out, err := exec.Command(binary, "config", "apply", dir, "--platform", f.platformURL()).CombinedOutput()
	if err != nil {
		t.Fatalf("config apply: %v\n%s", err, out)
	}
}

// status returns the report of a node's operator interface.
func (f *fleet) status(p *process) (node.Report, error) {
	var s node.Report
	req, err := http.NewRequest(http.MethodGet, "http://"+p.addresses["operators"]+"/status", nil)
	if err != nil {
		return s, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// waitReady waits until every node lists all nodes and enough usable replicas.
func (f *fleet) waitReady(t *testing.T, replicas int) {
	t.Helper()
	eventually(t, "the fleet is ready", func() bool {
		for _, p := range f.nodes {
			s, err := f.status(p)
			if err != nil || len(s.Nodes) < len(f.nodes) {
				return false
			}
			usable := 0
			for _, r := range s.Replicas {
				if r.Usable {
					usable++
				}
			}
			if usable < replicas {
				return false
			}
		}
		return true
	})
}

// eventually polls until the condition holds, or fails the test after eventTimeout.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", eventTimeout, description)
		}
		time.Sleep(pollInterval)
	}
}

// answer is the outcome of a request at its caller.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// send posts one request as a caller.
func send(p *process, path, body string, headers map[string]string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.addresses["callers"]+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer demo-key-"+organisation)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}

// executionCounts returns how often each idempotency key ran at all services together.
func (f *fleet) executionCounts(t *testing.T) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for _, s := range f.services {
		resp, err := http.Get("http://" + s.addresses["address"] + standin.PathCalls)
		is.New(t).NoErr(err)
		var calls []standin.ServiceCall
		is.New(t).NoErr(json.NewDecoder(resp.Body).Decode(&calls))
		resp.Body.Close()
		for _, c := range calls {
			counts[c.Key]++
		}
	}
	return counts
}
