package oriolebend

// Urgency is the priority of a request among others that wait for the same server.
type Urgency string

const (
	// Urgent requests (pings) are served before every patient request.
	Urgent Urgency = "urgent"
	// Patient requests (briefs, tab histories) may wait, but are never dropped
	// once they are accepted.
	Patient Urgency = "patient"
)

// Valid reports whether u is one of the defined urgencies.
func (u Urgency) Valid() bool {
	return u == Urgent || u == Patient
}
