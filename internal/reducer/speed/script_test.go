package speed

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestScripts runs the files of testdata/scripts. Their commands:
//
//	do    report NAMES FOR [units=N] [batch=N] [times=N] [noise=SHARE] | merge NAME COUNT MEAN | pass FOR
//	speeds   compares the servers and prints their factors, and whether they have slowed down
//	predict  prints the time for a unit at each given batch, at factor one
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		v, servers, names := &Service{}, []*Server{}, []string{}
		now := time.Unix(1000, 0)
		random := rand.New(rand.NewPCG(1, 0))
		server := func(name string) *Server {
			for i, known := range names {
				if known == name {
					return servers[i]
				}
			}
			names, servers = append(names, name), append(servers, &Server{})
			return servers[len(servers)-1]
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			is := is.New(t)
			var out strings.Builder
			switch d.Cmd {
			case "do":
				for line := range strings.Lines(d.Input) {
					words := strings.Fields(line)
					switch words[0] {
					case "pass":
						by, err := time.ParseDuration(words[1])
						is.NoErr(err)
						now = now.Add(by)
					case "merge":
						count, err := strconv.Atoi(words[2])
						is.NoErr(err)
						mean, err := time.ParseDuration(words[3])
						is.NoErr(err)
						if !v.Merge(server(words[1]), now, Observation{Count: count, Mean: mean}) {
							fmt.Fprintln(&out, words[1], "ignored")
						}
					case "report":
						for name := range strings.SplitSeq(words[1], ",") {
							report(is, v, server(name), now, random, append([]string{"", name}, words[2:]...), &out)
						}
					}
				}
			case "speeds":
				v.Compare(now, servers)
				for i, c := range servers {
					fmt.Fprintf(&out, "%s %.2f", names[i], c.Factor())
					if c.Slowed(now) {
						out.WriteString(" slowed")
					}
					out.WriteByte('\n')
				}
			case "predict":
				for word := range strings.FieldsSeq(d.Input) {
					batch, err := strconv.ParseFloat(word, 64)
					is.NoErr(err)
					fmt.Fprintf(&out, "%s %v\n", word, time.Duration(v.predict(batch)*float64(time.Second)).Round(100*time.Microsecond))
				}
			}
			return out.String()
		})
	})
}

func report(is *is.I, v *Service, c *Server, now time.Time, random *rand.Rand, words []string, out *strings.Builder) {
	took, err := time.ParseDuration(words[2])
	is.NoErr(err)
	r, times, noise := Report{At: now, Took: took, Units: 1}, 1, 0.0
	for _, option := range words[3:] {
		key, value, _ := strings.Cut(option, "=")
		number, err := strconv.ParseFloat(value, 64)
		is.NoErr(err)
		switch key {
		case "units":
			r.Units = int(number)
		case "batch":
			r.Batch = number
		case "times":
			times = int(number)
		case "noise":
			noise = number
		}
	}
	for range times {
		noisy := r
		noisy.Took = time.Duration(float64(r.Took) * (1 + noise*(2*random.Float64()-1)))
		if !v.Observe(c, noisy) {
			fmt.Fprintln(out, words[1], "ignored")
		}
	}
}
