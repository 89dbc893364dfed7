package record

import (
	"testing"

	"github.com/matryer/is"
)

// TestFingerprintOfBodies lists bodies that are or are not the same command. If
// different commands count as the same, the answer of one is replayed for the
// other. If equal commands count as different, the caller gets a conflict. So a
// body that may be ambiguous must count as different.
func TestFingerprintOfBodies(t *testing.T) {
	for name, row := range map[string]struct {
		one, other string
		same       bool
	}{
		"order and space":     {`{"amount":"10.00","currency":"EUR"}`, "{ \"currency\": \"EUR\",\n\"amount\":\"10.00\" }", true},
		"escapes":             {`{"name":"caf\u00e9"}`, `{"name":"café"}`, true},
		"nested order":        {`{"a":{"x":1,"y":[1,2]}}`, `{"a":{"y":[1,2],"x":1}}`, true},
		"amount":              {`{"amount":"10.00"}`, `{"amount":"100.00"}`, false},
		"number text":         {`{"amount":10.0}`, `{"amount":10.00}`, false},
		"large numbers":       {`{"id":9007199254740993}`, `{"id":9007199254740992}`, false},
		"order of elements":   {`[1,2]`, `[2,1]`, false},
		"null and absent":     {`{"a":null}`, `{}`, false},
		"type":                {`{"a":"1"}`, `{"a":1}`, false},
		"nesting":             {`[[1],2]`, `[[1,2]]`, false},
		"member twice":        {`{"a":1,"a":2}`, `{"a":2}`, false},
		"half surrogates":     {`{"a":"\ud800"}`, `{"a":"\ud801"}`, false},
		"broken UTF-8":        {"{\"a\":\"\xff\"}", "{\"a\":\"\xfe\"}", false},
		"text behind":         {`{"a":1}`, `{"a":1} x`, false},
		"not JSON":            {`tip=1`, `tip=2`, false},
		"empty and null":      {``, `null`, false},
		"quote in the string": {`["a","b"]`, `["a\",\"b"]`, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			one := Fingerprint(ValidatedCommand{Body: []byte(row.one)})
			other := Fingerprint(ValidatedCommand{Body: []byte(row.other)})
			is.Equal(SameCommand(one, other), row.same)
		})
	}
}

// TestFingerprintOfFields checks that each field changes the fingerprint, and
// so does text that moves from one field to the next.
func TestFingerprintOfFields(t *testing.T) {
	is := is.New(t)
	base := ValidatedCommand{
		Operation: "brief", Model: "m", Version: "1", Adapter: "a", Prompt: "p", MaxTokens: 8,
		Service: "s", Method: "POST", Path: "/tips", Header: map[string]string{"If-Match": "1"}, Body: []byte("{}"),
	}
	changes := []func(*ValidatedCommand){
		func(c *ValidatedCommand) { c.Operation = "x" },
		func(c *ValidatedCommand) { c.Model = "x" },
		func(c *ValidatedCommand) { c.Version = "x" },
		func(c *ValidatedCommand) { c.Adapter = "x" },
		func(c *ValidatedCommand) { c.Prompt = "x" },
		func(c *ValidatedCommand) { c.MaxTokens = 9 },
		func(c *ValidatedCommand) { c.Service = "x" },
		func(c *ValidatedCommand) { c.Method = "PUT" },
		func(c *ValidatedCommand) { c.Path = "x" },
		func(c *ValidatedCommand) { c.Header = nil },
		func(c *ValidatedCommand) { c.Header = map[string]string{"If-Match": "2"} },
		func(c *ValidatedCommand) { c.Header = map[string]string{"If-None-Match": "1"} },
		func(c *ValidatedCommand) { c.Body = []byte("[]") },
		func(c *ValidatedCommand) { c.Model, c.Version = "m1", "" },
	}
	seen := map[string]bool{Fingerprint(base): true}
	for _, change := range changes {
		c := base
		change(&c)
		is.True(!seen[Fingerprint(c)])
		seen[Fingerprint(c)] = true
	}
	lower := base
	lower.Method = "post"
	is.Equal(Fingerprint(lower), Fingerprint(base))
	// Stored fingerprints outlive the process, so this value must not change.
	is.Equal(Fingerprint(base), "v1:9c3ddf18c188a528f4594772f7437cbc")
}
