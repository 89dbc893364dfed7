package oriolebend

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

func TestResourceRoundTrips(t *testing.T) {
	for _, text := range []string{
		`{"kind":"model","name":"planner-lm","revision":3,"spec":{"versions":["v1"]}}`,
		`{"kind":"pool","name":"p","spec":{"role":"decode","model":"m","version":"v","minServers":2,"selector":{"region":"r"}}}`,
		`{"kind":"policy","name":"default","spec":{"firstWithin":"1.2s","shares":{"a":2,"b":1}}}`,
		`{"kind":"server","name":"s1","revision":9,"deleted":true}`,
	} {
		is := is.New(t)
		var r, again Resource
		is.NoErr(json.Unmarshal([]byte(text), &r))
		data, err := cbor.Marshal(r)
		is.NoErr(err)
		is.NoErr(cbor.Unmarshal(data, &again))
		is.Equal(r, again)
		back, err := json.Marshal(again)
		is.NoErr(err)
		is.Equal(string(back), text)
	}
}

func TestCheckReportsEveryInvalidField(t *testing.T) {
	for _, test := range []struct {
		text   string
		fields []string
	}{
		{
			`{"kind":"pool","name":"/x","spec":{"role":"both","minServers":-1,"servers":["a","a"],"selector":{}}}`,
			[]string{"name", "spec.role", "spec.minServers", "spec.servers[1]", "spec.selector"},
		},
		{
			`{"kind":"pool","name":"x","spec":{"role":"service","model":"m","servers":["a"],"minServers":2}}`,
			[]string{"spec.service", "spec.model", "spec.minServers"},
		},
		{
			`{"kind":"version","name":"m@v2","spec":{"model":"m","version":"v1","weightURL":"x"}}`,
			[]string{"name", "spec.weightURL", "spec.weightBytes"},
		},
		{
			`{"kind":"server","name":"s","spec":{"state":"gone","pool":"a b"}}`,
			[]string{"spec.state", "spec.pool"},
		},
		{
			`{"kind":"policy","name":"other","spec":{"lease":"-1s","retryBudget":2,"shares":{"a":0}}}`,
			[]string{"name", "spec.lease", "spec.retryBudget", "spec.shares.a"},
		},
		{`{"kind":"model","name":"m","spec":{}}`, []string{"spec.versions"}},
		{`{"kind":"adapter","name":"m+a","spec":{"model":"m","adapter":"a"}}`, nil},
	} {
		t.Run(test.text, func(t *testing.T) {
			is := is.New(t)
			var r Resource
			is.NoErr(json.Unmarshal([]byte(test.text), &r))
			var invalid *InvalidError
			var got []string
			if errors.As(r.Check(), &invalid) {
				for _, f := range invalid.Fields {
					got = append(got, f.Field)
				}
			}
			is.Equal(got, test.fields)
		})
	}
}

func TestUnknownFieldsAreErrors(t *testing.T) {
	for _, text := range []string{
		`{"kind":"model","name":"m","spec":{"version":["v1"]}}`,
		`{"kind":"model","name":"m","specs":{}}`,
		`{"kind":"motel","name":"m"}`,
	} {
		var invalid *InvalidError
		is.New(t).True(errors.As(json.Unmarshal([]byte(text), new(Resource)), &invalid))
	}
}
