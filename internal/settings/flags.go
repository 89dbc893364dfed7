package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v4"
)

// EnvironmentPrefix begins the names of environment variables: node.name is
// also ORIOLEBEND_NODE_NAME. Give it to ff.WithEnvVarPrefix.
const EnvironmentPrefix = "ORIOLEBEND"

// Overrides are the settings that can also be given as flags or environment
// variables. A flag goes before a variable, a variable before the file, and
// the file before the documented default.
type Overrides struct {
	// Path is the value of --settings; empty means the default settings.
	Path  string
	flags []*override
}

// override is one key that a flag named after it sets.
type override struct {
	key    string
	usage  string
	target func(*Settings) *string
	value  string
	flag   ff.Flag
}

func overridable() []*override {
	return []*override{
		{key: "node.name", usage: "name of this process", target: func(s *Settings) *string { return &s.Node.Name }},
		{key: "node.region", usage: "region that it stands in", target: func(s *Settings) *string { return &s.Node.Region }},
		{key: "node.failureDomain", usage: "failure domain that it stands in", target: func(s *Settings) *string { return &s.Node.FailureDomain }},
		{key: "peer.listen", usage: "IP:port for the system's own processes (UDP)", target: func(s *Settings) *string { return &s.Peer.Listen }},
		{key: "caller.listen", usage: "IP:port for callers", target: func(s *Settings) *string { return &s.Caller.Listen }},
		{key: "operator.listen", usage: "IP:port for operators", target: func(s *Settings) *string { return &s.Operator.Listen }},
		{key: "metrics.listen", usage: "IP:port for metrics and health", target: func(s *Settings) *string { return &s.Metrics.Listen }},
		{key: "control.dataFolder", usage: "folder of a control VM's log and snapshots", target: func(s *Settings) *string { return &s.Control.DataFolder }},
		{key: "log.level", usage: "what is logged: " + strings.Join(logLevels, ", "), target: func(s *Settings) *string { return &s.Log.Level }},
		{key: "log.format", usage: "how it is logged: " + strings.Join(logFormats, ", "), target: func(s *Settings) *string { return &s.Log.Format }},
		{key: "policy.route", usage: "how servers are chosen: " + strings.Join(routes, ", "), target: func(s *Settings) *string { return &s.Policy.Route }},
	}
}

// Flags adds --settings and the overriding flags to a flag set. Each flag has
// the name of its key. With no keys given all that can be overridden are
// added; a key that can't be panics, as it is a mistake in the program.
func Flags(fs *ff.FlagSet, keys ...string) *Overrides {
	o := &Overrides{}
	fs.StringVar(&o.Path, 's', "settings", "", "settings `FILE` in TOML")
	for _, f := range overridable() {
		if len(keys) > 0 && !slices.Contains(keys, f.key) {
			continue
		}
		f.flag = fs.StringVar(&f.value, 0, f.key, "", fmt.Sprintf("%s ($%s)", f.usage, EnvironmentName(f.key)))
		o.flags = append(o.flags, f)
	}
	if len(keys) > 0 && len(o.flags) != len(keys) {
		panic(fmt.Sprintf("settings: some of the keys %q can't be flags", keys))
	}
	return o
}

// EnvironmentName is the environment variable that sets a key.
func EnvironmentName(key string) string {
	return EnvironmentPrefix + "_" + strings.ToUpper(strings.NewReplacer(".", "_", "-", "_").Replace(key))
}

// Apply writes what flags and variables set over the settings.
func (o *Overrides) Apply(s *Settings) {
	for _, f := range o.flags {
		if !f.flag.IsSet() {
			continue
		}
		*f.target(s) = f.value
		if s.origin == nil {
			s.origin = newOrigin("settings")
		}
		s.origin.overrides[f.key] = fmt.Sprintf("--%s or $%s", f.key, EnvironmentName(f.key))
	}
}

// Load reads the settings file, or the default settings if none is named,
// applies the overrides and checks the whole for a role. The error is an
// *Errors with all faults.
func (o *Overrides) Load(role Role) (Settings, error) {
	read := Default
	if o.Path != "" {
		read = func() (Settings, error) { return Load(o.Path) }
	}
	s, err := read()
	if err != nil && s.origin == nil {
		return s, err
	}
	o.Apply(&s)
	return s, Check(role, s)
}
