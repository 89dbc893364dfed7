package oriolebend

import "time"

// Duration is a time.Duration that is encoded as text, such as "1.2s" or "41ms", in
// JSON and TOML, and as nanoseconds in CBOR.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// String returns the duration in the form of a settings file.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// Or returns d, or other if d is zero.
func (d Duration) Or(other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return time.Duration(d)
}
