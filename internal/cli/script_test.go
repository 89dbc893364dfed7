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
	// waitWithin bounds the waits of scripts; it is no measure.
	waitWithin = 30 * time.Second
	// waitEvery is how often a wait looks again.
	waitEvery = 10 * time.Millisecond
)

// Scripts' ports lie below those that systems give to outgoing connections: one
// of those would now and then be given a port that was chosen here and is not
// yet listened on, and the process under test would not start.
const (
	firstPort = 12000
	lastPort  = 31999
)

// nextPort is where the search for a free port goes on. Test processes that run
// side by side begin at different places.
var nextPort atomic.Int64

// chooseAddresses gives each script ports of its own.
func chooseAddresses(env *testscript.Env) error {
	// The race detector lets every process sleep for 1 s at its end.
	env.Setenv("GORACE", "atexit_sleep_ms=50")
	nextPort.CompareAndSwap(0, int64(os.Getpid())*64)
	for _, name := range []string{"CALLER", "OPERATOR", "METRICS", "METRICS2", "METRICS3", "PEER", "PEER2", "PEER3"} {
		address := nextAddress()
		for !free(address) {
			address = nextAddress()
		}
		env.Setenv(name, address)
	}
	return nil
}

func nextAddress() string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
}

// free reports whether nobody listens on an address, by TCP or UDP.
func free(address string) bool {
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
	"exits": exits, "ready": ready, "signal": sendSignal, "http": request, "large": large,
	"stopping": stopping, "stream": stream, "expand": expand,
}

// expand writes the script's variables into files.
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

// ready waits until a URL answers 200.
func ready(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(waitWithin); time.Now().Before(deadline); time.Sleep(waitEvery) {
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

// stopping waits until a URL no longer answers 200.
func stopping(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(waitWithin); time.Now().Before(deadline); time.Sleep(waitEvery) {
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

// stream begins a request and returns at its first output; the rest is read
// until the script ends: stream URL @FILE.
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
	ts.Fatalf("no command %s runs", args[1])
}

// request sends a request and prints status and body:
// http STATUS METHOD URL [HEADER: VALUE]... [@FILE].
func request(ts *testscript.TestScript, _ bool, args []string) {
	var body io.Reader
	if last := args[len(args)-1]; strings.HasPrefix(last, "@") {
		body = strings.NewReader(ts.ReadFile(last[1:]))
		args = args[:len(args)-1]
	}
	send(ts, args, body)
}

// large sends a body of so many bytes: large BYTES STATUS METHOD URL.
func large(ts *testscript.TestScript, _ bool, args []string) {
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
