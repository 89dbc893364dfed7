package oriolebend

import "time"

// Quarantine states that requests are not sent to servers, because several servers crashed while
// they began to work on such requests.
type Quarantine struct {
	// Fingerprint identifies a request by its content, or a part of prompts, as in log lines.
	Fingerprint string `json:"fingerprint"`
	// Kind is "request" or "part".
	Kind string `json:"kind"`
	// Together are the parts that came together at each crash: only requests with all of them are
	// quarantined. It holds Fingerprint.
	Together []string `json:"together"`
	// Servers are the instances that crashed.
	Servers []string `json:"servers"`
	// LastCrash is when the last of them crashed.
	LastCrash time.Time `json:"lastCrash"`
	// Left is the time that is left of the quarantine.
	Left Duration `json:"left"`
}
