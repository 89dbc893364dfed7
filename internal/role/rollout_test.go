package role

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

// rolloutWithin bounds the rollout of a version over a pool of three. Servers
// change one after another, and a new leader first waits out the leave that an
// earlier one may have given.
const rolloutWithin = 90 * time.Second

// Symptom: a rollout stops after the first server, which looks as if it held
// nothing.
// Sequence: a pool is declared at the version it has, then at the next one; its
// servers change in turn while requests come.
// Cause: what an engine held after an order was announced only with the next
// change of the gate's state.
func TestRolloutReachesEveryServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, nil)
	operators := c.operators()
	declare := func(r oriolebend.Resource) {
		_, err := operators.Apply(t.Context(), r, client.Options{})
		is.NoErr(err)
	}
	version := func(name string) oriolebend.Resource {
		return oriolebend.Resource{
			Kind: oriolebend.KindVersion, Name: testModel + "@" + name,
			Spec: &oriolebend.Version{Model: testModel, Version: name, WeightURL: "http://127.0.0.1:9/weights", WeightBytes: 1 << 30},
		}
	}
	pool := func(version string) oriolebend.Resource {
		return oriolebend.Resource{
			Kind: oriolebend.KindPool, Name: "decode",
			Spec: &oriolebend.Pool{
				Role: oriolebend.Decode, Model: testModel, Version: version, MinServers: 2,
				Servers: []string{"decode-1", "decode-2", "decode-3"},
			},
		}
	}
	declare(oriolebend.Resource{Kind: oriolebend.KindModel, Name: testModel, Spec: &oriolebend.Model{Versions: []string{"1", "2"}}})
	declare(version("1"))
	declare(version("2"))
	declare(pool("1"))
	declare(pool("2"))
	for end := time.Now().Add(rolloutWithin); !c.decodeHolds("2"); time.Sleep(lookEvery) {
		if time.Now().After(end) {
			t.Fatal("the rollout did not reach every server")
		}
	}
}

// decodeHolds reports whether every decode engine holds the version, by the
// engines themselves.
func (c *cluster) decodeHolds(version string) bool {
	for _, e := range c.Engines {
		info, err := e.Info(c.t.Context())
		if err != nil {
			return false
		}
		if info.Role != oriolebend.Decode {
			continue
		}
		if len(info.Models) != 1 || info.Models[0].Version != version {
			return false
		}
	}
	return true
}
