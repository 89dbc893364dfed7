package role

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Guards against refusing an organisation below its quota while half of the control VMs are lost, so
// that there is no leader. The others hold half of the quota under leases.
func TestQuotaWithHalfOfTheControls(t *testing.T) {
	is := is.New(t)
	s := newOrganisationSite(t, "127.0.1.4")
	quota := oriolebend.Quota{PerSecond: 200, Burst: 200}
	s.declareOrganisations(1, organisation("a", quota, "key-a"))
	for _, f := range s.forwarders {
		s.waitFor("served", func() bool { status, _ := s.sendWithKey(f, "key-a"); return status == http.StatusOK })
	}
	s.kill(seededControls[0])
	s.kill(seededControls[1])
	s.waitFor("half of the quota is leased", func() bool {
		share := 0.0
		for _, c := range s.controls() {
			share += c.quotas.LeaseStatus().Share
		}
		return share == 0.5
	})
	served, refused := 0, 0
	for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(20 * time.Millisecond) {
		for _, f := range s.forwarders {
			if status, _ := s.sendWithKey(f, "key-a"); status == http.StatusOK {
				served++
			} else {
				refused++
			}
		}
	}
	t.Log("served", served, "refused", refused)
	is.True(served > 20)
	is.True(refused*10 <= served)
}
