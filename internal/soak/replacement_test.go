package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// Durations of a replacement.
const (
	// catchUp is how long after its start a successor counts as lost, and the VM that it replaces.
	catchUp = 4 * time.Second
	// longestStop is the longest time for which relays are stopped: control VMs that have no session with
	// them list them no more by then.
	longestStop = 5 * time.Second
)

// TestReplacements replaces a control VM of the real program and then takes the disk of another one, while
// seeds change and relays restart. It guards against a group that has no quorum for good, and against an
// accepted routing that is lost.
func TestReplacements(t *testing.T) {
	list := []uint64{1, 2}
	if *seeds != "" {
		list = parseSeeds(t, *seeds)
	}
	program := build(t)
	for _, seed := range list {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := &system{t: t, program: program, folder: t.TempDir(), port: freePort(t), memoryMB: memoryMB}
			s.addControls()
			r := &replacement{system: s, random: rand.New(rand.NewPCG(seed, 0)), relays: []string{"127.0.2.8", "127.0.2.9"}}
			for _, ip := range r.relays {
				s.add("control", ip, "")
			}
			s.start()
			defer s.keepLogs()
			r.play()
		})
	}
}

// replacement is one run. Its processes are control VMs only.
type replacement struct {
	*system
	random  *rand.Rand
	relays  []string
	version uint64
}

func (r *replacement) play() {
	r.declare()
	lost := r.controls[r.random.IntN(len(r.controls))]
	r.changeSeeds(lost)
	if r.random.IntN(3) > 0 {
		r.restartRelays()
	}
	const successor = "127.0.2.4"
	r.replace(lost, successor)
	r.awaitListening(successor)
	time.Sleep(catchUp)
	r.declare()
	r.loseDisk(r.controls[r.random.IntN(len(r.controls))])
	r.read()
	r.declare()
	r.checkRunning()
}

// awaitListening waits until a process serves its metrics. On a busy machine it takes seconds to start.
func (r *replacement) awaitListening(ip string) {
	address := net.JoinHostPort(ip, strconv.Itoa(r.port+2))
	for deadline := time.Now().Add(settle); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close()
			return
		}
	}
	r.t.Fatalf("%s does not listen within %s", ip, settle)
}

// declare declares the next routing, which must be accepted within the time to recover.
func (r *replacement) declare() {
	r.version++
	ctx, cancel := context.WithTimeout(r.t.Context(), settle)
	defer cancel()
	if _, err := r.operator().DeclareRouting(ctx, routing(r.version)); err != nil {
		r.t.Fatalf("version %d is not accepted within %s: %v", r.version, settle, err)
	}
}

// read requires that the last accepted routing is read.
func (r *replacement) read() {
	ctx, cancel := context.WithTimeout(r.t.Context(), settle)
	defer cancel()
	got, err := r.operator().Routing(ctx)
	if err != nil || got.Version != r.version {
		r.t.Fatalf("read version %d in place of %d: %v", got.Version, r.version, err)
	}
}

// changeSeeds draws the seeds that settings name from now on, one of which stays. Some running processes
// get them, too.
func (r *replacement) changeSeeds(lost string) {
	stays := slices.Concat(r.relays, slices.DeleteFunc(slices.Clone(r.controls), func(ip string) bool { return ip == lost }))
	if r.random.IntN(2) == 0 {
		stays = r.relays
	}
	r.seeds = []string{stays[r.random.IntN(len(stays))]}
	for range r.random.IntN(3) {
		r.seeds = append(r.seeds, append(stays, lost)[r.random.IntN(len(stays)+1)])
	}
	r.t.Log("seeds", r.seeds)
	for _, p := range r.processes {
		if r.random.IntN(2) == 0 {
			r.t.Log("to", p.name)
			if err := p.write(); err != nil {
				r.t.Fatal(err)
			}
			p.signal(syscall.SIGHUP)
		}
	}
}

func (r *replacement) process(ip string) *process {
	at := slices.IndexFunc(r.processes, func(p *process) bool { return p.name == "control-"+ip })
	return r.processes[at]
}

// restartRelays kills all relays, and starts them again with the seeds of the settings.
func (r *replacement) restartRelays() {
	pause := time.Duration(r.random.Int64N(int64(longestStop)))
	r.t.Log("relays restart after", pause)
	for _, ip := range r.relays {
		<-r.process(ip).signal(syscall.SIGKILL)
	}
	time.Sleep(pause)
	for _, ip := range r.relays {
		r.process(ip).start()
	}
}

// replace replaces a control VM, as planned work or after a crash for good.
func (r *replacement) replace(lost, successor string) {
	pause := time.Duration(r.random.Int64N(int64(2 * time.Second)))
	planned := r.random.IntN(2) == 0
	r.t.Log("replace", lost, "planned", planned, "after", pause)
	r.add("control", successor, r.dataFolder(successor))
	if planned {
		r.process(successor).start()
		time.Sleep(pause)
		<-r.process(lost).signal(syscall.SIGTERM)
	} else {
		<-r.process(lost).signal(syscall.SIGKILL)
		time.Sleep(pause)
		r.process(successor).start()
	}
	r.controls = append(slices.DeleteFunc(r.controls, func(ip string) bool { return ip == lost }), successor)
	r.processes = slices.DeleteFunc(r.processes, func(p *process) bool { return p.name == "control-"+lost })
}

// loseDisk kills a control VM, or all processes, and starts them again, the one with an empty disk.
func (r *replacement) loseDisk(ip string) {
	killed := []*process{r.process(ip)}
	if r.random.IntN(2) == 0 {
		killed = r.processes
	}
	r.t.Log("disk of", ip, "lost, processes killed:", len(killed))
	for _, p := range killed {
		<-p.signal(syscall.SIGKILL)
	}
	if err := os.RemoveAll(filepath.Join(r.folder, ip)); err != nil {
		r.t.Fatal(err)
	}
	time.Sleep(time.Duration(r.random.Int64N(int64(1300 * time.Millisecond))))
	for _, p := range killed {
		p.start()
	}
}
