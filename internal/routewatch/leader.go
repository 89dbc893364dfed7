package routewatch

import "time"

// knownLeader is the leader of the control VMs, as far as updates have named one.
type knownLeader struct {
	address string
	// term is the highest term in which a leader was named, namedAt when this leader was last named.
	term    uint64
	namedAt time.Time
}

// update applies the leader that a control VM names in an update, if it names one.
//
// A control VM that was frozen or cut off names an earlier leader until it receives messages of the
// later one. If the last update decided, requests would be sent to the earlier leader until another control
// VM sends its next update. A later leader that nobody names any more gives way: a group whose members have all
// lost their disks counts its terms anew.
func (l *knownLeader) update(at time.Time, address string, term uint64) {
	earlier := term != 0 && term < l.term && at.Sub(l.namedAt) < confirmationMaxAge
	if address == "" || earlier {
		return
	}
	l.address, l.namedAt = address, at
	if term != 0 {
		l.term = term
	}
}
