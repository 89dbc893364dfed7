package quota

import "time"

// Config states by how much quotas may be exceeded.
type Config struct {
	// Window is the time over which a quota is judged: what is let through within any
	// such time may be that of Window and the burst, a share Overshoot of it more, and
	// Slack units besides. Without a Window the defaults hold; an Overshoot of zero beside
	// one is none.
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Defaults of Config, for a site that states no bounds of its own.
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

// excess is by how many units a quota may be exceeded within a window.
func (c Config) excess(perSecond, burst float64) float64 {
	return c.Overshoot*(perSecond*c.Window.Seconds()+burst) + c.Slack
}

// Shares of the excess. Together they leave a part of it for what is counted twice: what
// reserves held before they were restarted, and what a leader gives that has been suspended
// and does not know yet that another one leads.
const (
	// reserveBurst and reserveRate are what the reserves of all control VMs hold at once,
	// and give within a window besides.
	reserveBurst = 0.2
	reserveRate  = 0.15
	// calmStart is what the bucket of a leader begins with that has seen the one before
	// it lead for a whole window, restartStart that of one whose process has just begun.
	// With less, callers below their quota are refused after each change of the leader.
	calmStart    = 0.25
	restartStart = 0.15
)

const (
	// reserveStart is the part of its burst that a reserve holds at the start of its
	// process: it may have given all of it a moment before.
	reserveStart = 0.5
	// settled is for how many times its burst's time a leader has to have counted to
	// know what an organisation has left. Before, its bucket holds less than that, and
	// its reserve stands in.
	settled = 1.0
)
