package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

// build compiles the program that is shipped.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "oriolebend")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/oriolebend").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// system holds the processes of the product. Each process has its own loopback address,
// since control VMs that are found through seeds are named by their address.
type system struct {
	t         *testing.T
	program   string
	folder    string
	port      int
	memoryMB  int
	processes []*process
	controls  []string
	callers   []string
	// seeds are the control VMs that settings name from now on; founded is set once the control VMs have
	// started for the first time.
	seeds   []string
	founded bool
}

const token = "operator-token-of-the-soak"

// memoryMB is the memory limit of each process, and smallestMemoryMB that of the smallest VMs.
const (
	memoryMB         = 112
	smallestMemoryMB = 88
)

func startSystem(t *testing.T, program string) *system {
	t.Helper()
	return startSystemWithMemory(t, program, memoryMB)
}

func startSystemWithMemory(t *testing.T, program string, megabytes int) *system {
	t.Helper()
	s := &system{t: t, program: program, folder: t.TempDir(), port: freePort(t), memoryMB: megabytes}
	s.addControls()
	s.add("control", "127.0.2.9", "") // a relay
	for i := range forwarders {
		ip := fmt.Sprintf("127.0.2.%d", 20+i)
		s.callers = append(s.callers, fmt.Sprintf("%s:%d", ip, s.port+1))
		s.add("forwarder", ip, "")
	}
	s.start()
	return s
}

// addControls adds the control VMs that found the group.
func (s *system) addControls() {
	for i := range 3 {
		s.controls = append(s.controls, fmt.Sprintf("127.0.2.%d", i+1))
	}
	s.seeds = s.controls
	for _, ip := range s.controls {
		s.add("control", ip, s.dataFolder(ip))
	}
}

// dataFolder returns the setting of a control VM with a disk.
func (s *system) dataFolder(ip string) string {
	return fmt.Sprintf("dataFolder = %q\n", filepath.Join(s.folder, ip))
}

// start starts all processes for the first time; they end with the test.
func (s *system) start() {
	for _, p := range s.processes {
		p.start()
	}
	s.founded = true
	s.t.Cleanup(func() {
		for _, p := range s.processes {
			p.kill()
		}
	})
}

// checkRunning requires that no process has ended by itself.
func (s *system) checkRunning() {
	s.t.Helper()
	for _, p := range s.processes {
		p.mutex.Lock()
		running := p.running()
		p.mutex.Unlock()
		if !running {
			s.t.Errorf("%s has ended by itself", p.name)
		}
	}
}

func freePort(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.2.1:0")
	is.New(t).NoErr(err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// add adds a process, which writes its settings at each start.
func (s *system) add(role, ip, control string) {
	p := &process{system: s, name: role + "-" + ip, role: role, settings: filepath.Join(s.folder, ip+".toml")}
	p.write = func() error {
		text := fmt.Sprintf("[node]\nname = %q\nregion = \"r\"\nfailureDomain = %q\nmemoryMB = %d\n[log]\nformat = \"json\"\n"+
			"[peer]\nlisten = \"%s:%d\"\ntrust = \"network\"\n[metrics]\nlisten = \"%s:%d\"\n",
			p.name, ip, s.memoryMB, ip, s.port, ip, s.port+2)
		if role == "control" {
			text += fmt.Sprintf("[operator]\nlisten = \"%s:%d\"\ntokens = [\"soak=%s\"]\n", ip, s.port, token)
		} else {
			text += fmt.Sprintf("[forward]\nlisten = \"%s:%d\"\nstopDelay = \"200ms\"\nstopWithin = \"4s\"\n", ip, s.port+1)
		}
		text += fmt.Sprintf("[control]\nminFreeBytes = 1\nfound = %t\n", !s.founded) + control + "seeds = ["
		for _, seed := range s.seeds {
			text += fmt.Sprintf("\"%s:%d\",", seed, s.port)
		}
		return os.WriteFile(p.settings, []byte(text+"]\n"), 0o600)
	}
	s.processes = append(s.processes, p)
}

func (s *system) operator() *client.Client {
	var addresses []string
	for _, ip := range s.controls {
		addresses = append(addresses, fmt.Sprintf("http://%s:%d", ip, s.port))
	}
	return client.New(client.Config{Addresses: addresses, Token: token, Tries: 40, WaitMost: 500 * time.Millisecond})
}

// awaitReady waits until every forwarder reports that it is ready.
func (s *system) awaitReady(within time.Duration) {
	s.t.Helper()
	deadline := time.Now().Add(within)
	for _, p := range s.processes {
		if p.role != "forwarder" {
			continue
		}
		ip := strings.TrimPrefix(p.name, "forwarder-")
		for !ready(fmt.Sprintf("http://%s:%d/readyz", ip, s.port+2)) {
			if time.Now().After(deadline) {
				s.t.Fatalf("%s is not ready within %s", p.name, within)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func ready(url string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// killAll kills every process at once and returns a time at which all are killed: a request that begins
// later can only be answered after the restart.
func (s *system) killAll() time.Time {
	var exited []<-chan struct{}
	for _, p := range s.processes {
		exited = append(exited, p.signal(syscall.SIGKILL))
	}
	for _, done := range exited {
		<-done
	}
	return time.Now()
}

// restore resumes every paused process and starts every stopped one.
func (s *system) restore() {
	for _, p := range s.processes {
		p.resume()
	}
	time.Sleep(1200 * time.Millisecond) // longer than the longest restart delay
	for _, p := range s.processes {
		p.start()
	}
}

// keepLogs copies the logs of a failed test to a folder that is not removed.
func (s *system) keepLogs() {
	if !s.t.Failed() {
		return
	}
	folder, err := os.MkdirTemp("", "soak-")
	if err == nil {
		s.copyLogs(folder)
		s.t.Log("logs are in", folder)
	}
}

func (s *system) copyLogs(folder string) {
	for _, p := range s.processes {
		data, err := os.ReadFile(p.settings + ".log")
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, p.name+".log"), data, 0o600)
		}
		if err != nil {
			s.t.Log("log not copied:", err)
		}
	}
}

// process is one process of the product. Only this test starts and stops it.
type process struct {
	system   *system
	name     string
	role     string
	settings string
	write    func() error

	mutex sync.Mutex
	// signalled holds the times at which the process was started or received a signal.
	signalled []time.Time
	command   *exec.Cmd
	done      chan struct{}
}

// start starts the process unless it is running.
func (p *process) start() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil && p.running() {
		return
	}
	if err := p.write(); err != nil {
		p.system.t.Error(err)
		return
	}
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.system.t.Error(err)
		return
	}
	defer log.Close()
	command := exec.Command(p.system.program, p.role, "--settings", p.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		p.system.t.Error(err)
		return
	}
	done := make(chan struct{})
	p.command, p.done = command, done
	p.signalled = append(p.signalled, time.Now())
	go func() {
		_ = command.Wait() // the exit status does not matter: faults kill the process
		close(done)
	}()
}

// running reports whether the process has not exited. The caller must hold the mutex.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process if it runs. The returned channel is closed when it has exited.
func (p *process) signal(s os.Signal) <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil && p.running() {
		_ = p.command.Process.Signal(s) // the process may have just exited
		p.signalled = append(p.signalled, time.Now())
	}
	return p.done
}

// disturbed reports whether the process or a control VM was started or signalled in the
// crashSettle before a time.
func (p *process) disturbed(at time.Time) bool {
	for _, other := range p.system.processes {
		if (other == p || other.role == "control") && other.signalledBefore(at) {
			return true
		}
	}
	return false
}

func (p *process) signalledBefore(at time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.ContainsFunc(p.signalled, func(t time.Time) bool {
		return !t.After(at) && at.Sub(t) <= crashSettle
	})
}

// forwarderAt returns the forwarder that listens for callers at an address.
func (s *system) forwarderAt(address string) *process {
	ip, _, _ := net.SplitHostPort(address)
	for _, p := range s.processes {
		if p.name == "forwarder-"+ip {
			return p
		}
	}
	s.t.Fatalf("no forwarder at %s", address)
	return nil
}

func (p *process) kill() { p.signal(syscall.SIGKILL) }

func (p *process) terminate() { p.signal(syscall.SIGTERM) }

func (p *process) pause(length time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(length, p.resume)
}

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// startAfter starts the process again, a pause after it has exited.
func (p *process) startAfter(pause time.Duration) {
	p.mutex.Lock()
	done := p.done
	p.mutex.Unlock()
	go func() {
		select {
		case <-done:
		case <-p.system.t.Context().Done():
			return
		}
		time.Sleep(pause)
		if p.system.t.Context().Err() == nil {
			p.start()
		}
	}()
}
