package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v4"
)

// EnvironmentPrefix is the prefix of the environment variables, for ff.WithEnvVarPrefix:
// ORIOLEBEND_NODE_NAME sets node.name.
const EnvironmentPrefix = "ORIOLEBEND"

// Overrides holds the settings that can also be given as flags or environment variables.
// A flag takes precedence over a variable, a variable over the file, and the file over
// the documented default.
type Overrides struct {
	// Path is the value of --settings; empty means the default settings.
	Path string
	list []*override
}

// override is a key that can be set by the flag of the same name.
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

// Flags adds --settings and a flag for each of the given keys to a flag set; without keys
// it adds a flag for every key that can be overridden. Each flag has the name of its key.
// Flags panics if a key can't be overridden, because that is a programming error.
func Flags(fs *ff.FlagSet, keys ...string) *Overrides {
	o := &Overrides{}
	fs.StringVar(&o.Path, 's', "settings", "", "settings `FILE` in TOML")
	for _, f := range overridable() {
		if len(keys) > 0 && !slices.Contains(keys, f.key) {
			continue
		}
		f.flag = fs.StringVar(&f.value, 0, f.key, "", fmt.Sprintf("%s ($%s)", f.usage, EnvironmentName(f.key)))
		o.list = append(o.list, f)
	}
	if len(keys) > 0 && len(o.list) != len(keys) {
		panic(fmt.Sprintf("settings: some of the keys %q can't be flags", keys))
	}
	return o
}

// EnvironmentName returns the name of the environment variable that sets a key.
func EnvironmentName(key string) string {
	return EnvironmentPrefix + "_" + strings.ToUpper(strings.NewReplacer(".", "_", "-", "_").Replace(key))
}

// Apply overwrites settings with the values of flags and environment variables.
func (o *Overrides) Apply(s *Settings) {
	for _, f := range o.list {
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

// Load reads the settings file, or the default settings if no file is named, applies the
// overrides and checks the settings for a role. The error is an *Errors with all faults.
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
