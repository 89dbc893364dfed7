package quota

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/ranks"
)

// Config states by how much quotas may be exceeded.
type Config struct {
	// Window is the length of the interval over which a quota is enforced. Within any
	// interval of that length an organisation may be granted PerSecond times Window plus
	// the burst, a share Overshoot of that sum more, and Slack units in addition. If
	// Window is zero, the defaults of Window and Overshoot apply; with a Window set, an
	// Overshoot of zero means none.
	Window    time.Duration
	Overshoot float64
	Slack     float64
	// DisableRanks treats the requests of all ranks alike.
	DisableRanks bool
}

// Defaults of Config, for a site that configures no bounds.
const (
	DefaultWindow    = 8 * time.Second
	DefaultOvershoot = 0.1
)

func (c Config) withDefaults() Config {
	if c.Window == 0 {
		c.Window, c.Overshoot = DefaultWindow, DefaultOvershoot
	}
	return c
}

// rank returns the rank by which a request is treated.
func (c Config) rank(rank int) int {
	if c.DisableRanks {
		return 0
	}
	return ranks.Limit(rank)
}

// excess returns the number of units by which a quota may be exceeded within a window.
func (c Config) excess(perSecond, burst float64) float64 {
	return c.Overshoot*(perSecond*c.Window.Seconds()+burst) + c.Slack
}

// Shares of the excess. Together they leave a part of it for units that are granted twice:
// from reserves that were full before their process restarted, and by a suspended leader
// that does not know yet that another control VM leads.
const (
	// reserveBurst is the share that the reserves of all control VMs hold at once, and
	// reserveRate the share that they are refilled with within a window.
	reserveBurst = 0.2
	reserveRate  = 0.15
	// stableStart is the share that a new leader's buckets begin with if it has seen the
	// previous leader lead for a whole window; restartStart applies if the new leader's
	// process has just started. With smaller shares, callers below their quota are refused
	// after each change of the leader.
	stableStart  = 0.25
	restartStart = 0.15
)

const (
	// reserveStart is the part of its burst that a reserve holds when its process starts:
	// the reserve may have granted its whole burst just before the restart.
	reserveStart = 0.5
	// fillTimes is for how many times its fill time a leader's bucket must have been
	// counted before it holds all that an organisation may have saved up. Until then the
	// leader also grants from its reserve.
	fillTimes = 1.0
)
