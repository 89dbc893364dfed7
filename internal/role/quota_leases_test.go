package role

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
	"github.com/oriolebend/oriolebend/internal/reducer/quotalease"
	"github.com/oriolebend/oriolebend/internal/replica"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Guards against a change of the agreement's timing after which a control VM may lease a quota while
// a leader may still rely on its last acknowledgement.
func TestQuotaLeaseIsLongerThanALeaders(t *testing.T) {
	is.New(t).True(quotalease.Lease > (agreement.DefaultLeaseTicks+1)*replica.DefaultTickEvery)
}

// Guards against quota leases that operators can't disable.
func TestQuotaLeasesCanBeDisabled(t *testing.T) {
	is := is.New(t)
	c := &ControlProcess{process: Process{Logger: slog.New(slog.DiscardHandler)}, routing: routing.NewStore()}
	is.True(c.newQuotas().Leases != nil)
	c.process.Settings.Control.Disable = []settings.Feature{settings.FeatureQuotaLeases}
	is.True(c.newQuotas().Leases == nil)
}

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
	// Both are lost at once: after a second and a half the group would continue without the first one.
	s.kill(seededControls[:2]...)
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
