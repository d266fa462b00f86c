// Package process tests the router as truly separate processes with real
// signals.
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
	poll         = 20 * time.Millisecond
	organisation = "virtanen-lahti"
)

// binary is the program under test, built once.
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

// process is one running program and the addresses it printed.
type process struct {
	cmd       *exec.Cmd
	addresses map[string]string
	done      chan error
}

// start runs the program and waits for the line with its addresses.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	is := is.New(t)
	cmd := exec.Command(binary, args...)
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	if testing.Verbose() {
		cmd.Stderr = os.Stderr
	}
	is.NoErr(cmd.Start())
	p := &process{cmd: cmd, addresses: map[string]string{}, done: make(chan error, 1)}
	reader := bufio.NewReader(out)
	line, err := reader.ReadString('\n')
	is.NoErr(err) // the program printed its addresses
	for field := range strings.FieldsSeq(line) {
		name, address, _ := strings.Cut(field, "=")
		p.addresses[name] = address
	}
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		p.done <- cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	})
	return p
}

// signal sends a real signal.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	is.New(t).NoErr(p.cmd.Process.Signal(s))
}

// fleet is a small deployment of separate processes.
type fleet struct {
	platform *process
	engines  []*process
	services []*process
	nodes    []*process
}

var dataCentres = []string{"lahti-1", "kouvola-1", "hml-1"}

// startFleet runs stand-ins and entry nodes, and applies the example folder.
func startFleet(t *testing.T, nodes, engines, services int, engineFlags ...string) *fleet {
	t.Helper()
	f := &fleet{platform: start(t, "standin", "platform", "--vm-lag", "200ms")}
	var vms []infra.VM
	add := func(p *process, pool string, i int) {
		vms = append(vms, infra.VM{ID: fmt.Sprintf("%s-%d", pool, i), Address: p.addresses["address"], DataCentre: dataCentres[i%3], Region: "etelainen", Role: infra.RoleBackend, Pool: pool})
	}
	for i := range engines {
		args := append([]string{"standin", "engine", "--id", fmt.Sprintf("engine-%d", i), "--target", "kuski@v1,kuski@v2,emanta@v3"}, engineFlags...)
		f.engines = append(f.engines, start(t, args...))
		add(f.engines[i], "mallipalvelin", i)
	}
	for i := range services {
		f.services = append(f.services, start(t, "standin", "service", "--id", fmt.Sprintf("service-%d", i)))
		add(f.services[i], "kirjauspalvelu", i)
	}
	f.setVMs(t, vms)
	f.apply(t, quietFree(t))
	for i := range nodes {
		f.nodes = append(f.nodes, f.startNode(t, fmt.Sprintf("entry-%d", i), dataCentres[i%3]))
	}
	f.waitReady(t, engines+services)
	return f
}

// startNode runs one more entry node.
func (f *fleet) startNode(t *testing.T, id, dataCentre string) *process {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf("id = %q\ndata_centre = %q\nregion = \"etelainen\"\nlisten = \"127.0.0.1:0\"\ninner_listen = \"127.0.0.1:0\"\noperator_listen = \"127.0.0.1:0\"\nplatform = %q\ninner_secret = %q\noperator_key = %q\nlog_level = \"warn\"\n",
		id, dataCentre, f.base(), innerSecret, operatorKey)
	is.New(t).NoErr(os.WriteFile(settings, []byte(text), 0o600))
	return start(t, "serve", "--settings", settings)
}

// base returns the platform's URL.
func (f *fleet) base() string { return "http://" + f.platform.addresses["address"] }

func (f *fleet) setVMs(t *testing.T, vms []infra.VM) {
	t.Helper()
	raw, err := json.Marshal(vms)
	is.New(t).NoErr(err)
	resp, err := http.Post(f.base()+standin.PathSetVMs, "application/json", bytes.NewReader(raw))
	is.New(t).NoErr(err)
	resp.Body.Close()
}

// quietFree copies the example folder without its quiet hours, so that tests
// pass at night.
func quietFree(t *testing.T) string {
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

// apply runs "config apply".
func (f *fleet) apply(t *testing.T, dir string) {
	t.Helper()
	out, err := exec.Command(binary, "config", "apply", dir, "--platform", f.base()).CombinedOutput()
	if err != nil {
		t.Fatalf("config apply: %v\n%s", err, out)
	}
}

// status asks a node's operators' interface.
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

// waitReady waits until all nodes see each other and all replicas.
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

// eventually polls until what holds, or fails the test.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", eventTimeout, what)
		}
		time.Sleep(poll)
	}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// send posts one request as a caller.
func send(p *process, path, body string, header map[string]string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.addresses["callers"]+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer demo-key-"+organisation)
	for k, v := range header {
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

// calls returns how often each key was carried out, by all services.
func (f *fleet) calls(t *testing.T) map[string]int {
	t.Helper()
	out := map[string]int{}
	for _, s := range f.services {
		resp, err := http.Get("http://" + s.addresses["address"] + standin.PathCalls)
		is.New(t).NoErr(err)
		var calls []standin.ServiceCall
		is.New(t).NoErr(json.NewDecoder(resp.Body).Decode(&calls))
		resp.Body.Close()
		for _, c := range calls {
			out[c.Key]++
		}
	}
	return out
}
