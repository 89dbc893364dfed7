package fleet
import ("testing";"fmt";"github.com/oriolebend/oriolebend/internal/reducer/entry")
func TestSweep(t *testing.T){
 for _, m := range []mix{lintang, association} { 
 for _, sc := range []float64{1,1.2} {
 for _, c := range []entry.Config{{},{DecodeProbes:3},{DecodeProbes:4},{Probes:3,DecodeProbes:3},{DecodeProbes:3, AskAtOnce:true}} {
  good, wasted, rate, ping := 0.0, 0.0, 0.0, 0.0
  for seed := uint64(1); seed <= 3; seed++ {
	r := run(m, c, sc, seed, nil)
	good += r.good/3; wasted += r.wasted/3; rate += r.good*float64(len(r.f.specs))/40/3; ping += r.pingP99.Seconds()/3
  }
	fmt.Printf("%s %.1f probes=%d/%d once=%v good %.3f (%.1f/s) wasted %.4f ping %.2f\n", m.domains[0], sc, c.Probes, c.DecodeProbes, c.AskAtOnce, good, rate, wasted, ping)
 }}}
}
