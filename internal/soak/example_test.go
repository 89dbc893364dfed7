package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// exampleEngines is the number of engines for the example load, exampleRoom how many of its
	// generations an engine has memory for.
	exampleEngines = 6
	exampleRoom    = 8
)

// TestExampleOfRanks guards against an example whose routing, load or keys do not fit each other,
// and against a load that loses or damages streams. It runs the load for the duration -for.
func TestExampleOfRanks(t *testing.T) {
	is := is.New(t)
	program := build(t)
	s := startSystem(t, program)
	data, err := os.ReadFile("../../examples/ranks.json")
	is.NoErr(err)
	var declared oriolebend.Routing
	is.NoErr(json.Unmarshal(data, &declared))
	f := &fleet{t: t, system: s, random: rand.New(rand.NewPCG(1, 1)), ran: map[string]int{}}
	for i := range exampleEngines {
		f.start(&server{name: fmt.Sprintf("engine-%d", i), service: "planner", engine: &engine{speed: 1, room: exampleRoom}})
	}
	ctx, cancel := context.WithTimeout(t.Context(), settle)
	defer cancel()
	_, err = s.operator().DeclareRouting(ctx, declared)
	is.NoErr(err)
	s.awaitReady(settle)
	for list, err := s.operator().Backends(ctx); len(list) < exampleEngines; list, err = s.operator().Backends(ctx) {
		is.NoErr(err) // the engines do not announce themselves
		time.Sleep(50 * time.Millisecond)
	}
	arguments := []string{"load", "--quiet", "--duration", runs.String()}
	for _, address := range s.callers {
		arguments = append(arguments, "--entry", "http://"+address)
	}
	out, err := exec.Command(program, append(arguments, "../../examples/load/ranks.toml")...).CombinedOutput()
	t.Logf("%s", out)
	is.NoErr(err) // a request was lost, doubled or damaged
	f.checkEngines(t)
}
