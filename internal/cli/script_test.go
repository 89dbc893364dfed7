package cli_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// waitTimeout limits the waits of scripts.
	waitTimeout = 30 * time.Second
	// pollInterval is how often a wait checks its condition.
	pollInterval = 10 * time.Millisecond
)

// The ports of scripts are below those that operating systems use for outgoing
// connections. Otherwise an outgoing connection could get a port that was chosen here
// but is not listened on yet, and the process under test would not start.
const (
	firstPort = 12000
	lastPort  = 31999
)

// nextPort determines the next port to try. Test processes that run at the same time
// start at different ports.
var nextPort atomic.Int64

// chooseAddresses sets addresses with free ports in the environment of each script.
func chooseAddresses(env *testscript.Env) error {
	// By default the race detector makes every process sleep for 1 s before it exits.
	env.Setenv("GORACE", "atexit_sleep_ms=50")
	nextPort.CompareAndSwap(0, int64(os.Getpid())*64)
	for _, name := range []string{"CALLER", "OPERATOR", "METRICS", "METRICS2", "METRICS3", "PEER", "PEER2", "PEER3"} {
		address := nextAddress()
		for !isFree(address) {
			address = nextAddress()
		}
		env.Setenv(name, address)
	}
	return nil
}

func nextAddress() string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
}

// isFree reports whether no socket listens on an address, neither TCP nor UDP.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return socket.Close() == nil
}

var commands = map[string]func(*testscript.TestScript, bool, []string){
	"exits": exits, "ready": ready, "signal": sendSignal, "http": sendRequest, "large": sendLarge,
	"stopping": stopping, "stream": stream, "expand": expand,
}

// expand replaces the variables of the script in files: expand FILE...
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(os.Expand(ts.ReadFile(name), ts.Getenv)), 0o600))
	}
}

// exits runs a command and compares its exit code: exits CODE oriolebend ARGS.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	command := exec.Command(args[1], args[2:]...)
	command.Dir = ts.Getenv("WORK")
	command.Env = append(os.Environ(), "ORIOLEBEND_CONTROL="+ts.Getenv("ORIOLEBEND_CONTROL"))
	var out, errOut bytes.Buffer
	command.Stdout, command.Stderr = &out, &errOut
	_ = command.Run()
	fmt.Fprint(ts.Stdout(), out.String())
	fmt.Fprint(ts.Stderr(), errOut.String())
	ts.Logf("%s%s", out.String(), errOut.String())
	if got := command.ProcessState.ExitCode(); got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// ready waits until a URL answers 200: ready URL.
func ready(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		response, err := http.Get(args[0])
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	ts.Fatalf("%s is not ready", args[0])
}

// stopping waits until a URL no longer answers 200: stopping URL.
func stopping(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		response, err := http.Get(args[0])
		if err != nil {
			return
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return
		}
	}
	ts.Fatalf("%s is still ready", args[0])
}

// stream sends a request and returns at the first byte of its answer. The connection
// stays open until the script ends: stream URL @FILE.
func stream(ts *testscript.TestScript, _ bool, args []string) {
	response, err := http.Post(args[0], "application/json", strings.NewReader(ts.ReadFile(args[1][1:])))
	ts.Check(err)
	ts.Defer(func() { response.Body.Close() })
	first := make([]byte, 1)
	_, err = io.ReadFull(response.Body, first)
	ts.Check(err)
}

// sendSignal sends a signal to a background command: signal NAME COMMAND.
func sendSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]os.Signal{"TERM": syscall.SIGTERM, "INT": syscall.SIGINT, "HUP": syscall.SIGHUP}
	for _, command := range ts.BackgroundCmds() {
		if strings.HasPrefix(strings.Join(command.Args[1:], " "), args[1]) {
			ts.Check(command.Process.Signal(signals[args[0]]))
			return
		}
	}
	ts.Fatalf("no background command %s is running", args[1])
}

// sendRequest sends a request, prints the body of the answer and compares its status:
// http STATUS METHOD URL [HEADER: VALUE]... [@FILE].
func sendRequest(ts *testscript.TestScript, _ bool, args []string) {
	var body io.Reader
	if last := args[len(args)-1]; strings.HasPrefix(last, "@") {
		body = strings.NewReader(ts.ReadFile(last[1:]))
		args = args[:len(args)-1]
	}
	send(ts, args, body)
}

// sendLarge sends a body of the given size: large BYTES STATUS METHOD URL.
func sendLarge(ts *testscript.TestScript, _ bool, args []string) {
	size, err := strconv.Atoi(args[0])
	ts.Check(err)
	send(ts, args[1:], bytes.NewReader(bytes.Repeat([]byte("a"), size)))
}

func send(ts *testscript.TestScript, args []string, body io.Reader) {
	r, err := http.NewRequest(args[1], args[2], body)
	ts.Check(err)
	for _, header := range args[3:] {
		name, value, _ := strings.Cut(header, ": ")
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	ts.Check(err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	ts.Check(err)
	fmt.Fprintf(ts.Stdout(), "%s\n", answer)
	ts.Logf("%s %s", response.Status, answer)
	if got := strconv.Itoa(response.StatusCode); got != args[0] {
		ts.Fatalf("status %s, want %s", got, args[0])
	}
}
