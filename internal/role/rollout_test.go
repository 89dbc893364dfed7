package role

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

// rolloutTimeout bounds the rollout of a version over a pool of three. Servers change one
// after another, and a new leader first waits until a permit that an earlier leader may
// have granted has expired.
const rolloutTimeout = 90 * time.Second

// Guards against a rollout that stops after the first server, which appears to have no
// model loaded. A pool is declared at its current version, then at the next one, and its
// servers change in turn. The models that an engine has loaded after an order must be
// announced immediately, not only with the next change of the gate's state.
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
	for end := time.Now().Add(rolloutTimeout); !c.decodeServersHave("2"); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatal("the rollout did not reach every server")
		}
	}
}

// decodeServersHave reports whether every decode engine itself reports the version as
// loaded.
func (c *cluster) decodeServersHave(version string) bool {
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
