package fleet
import ("testing";"fmt";"sort";"time";"github.com/oriolebend/oriolebend/internal/reducer/entry";"github.com/oriolebend/oriolebend/internal/policy")
func TestDebug(t *testing.T){
 for _, fault := range []func(*fleet){nil, decodeDies} {
 for _, m := range []mix{lintang, association} { for _, rt := range []policy.Name{policy.Reserve, policy.RoundRobin} {
  sum := map[string]int{}; good, wasted := 0.0, 0.0
  for seed := uint64(1); seed <= 3; seed++ {
	r := run(m, entry.Config{Route: rt}, 2, seed, fault)
	good += r.good/3; wasted += r.wasted/3
	for x, n := range r.f.counts { sum[x]+=n }
	for _, s := range r.f.specs { 
	 if s.ended && s.first.Sub(s.arrived) > s.firstWithin { sum["!late "+s.kind]++; if s.first.Sub(s.arrived) > 2*s.firstWithin {sum["!late2x "+s.kind]++} } else if s.ended && !s.good() { sum["!slow "+s.kind]++; if s.last.Sub(s.first)/time.Duration(s.outputTokens) < 45*time.Millisecond {sum["!slow45 "+s.kind]++ } }
	 if !s.ended { sum["!open "+string(s.problem)]++ } }
	sum["!n"] += len(r.f.specs)
  }
	fmt.Printf("%s good %.3f wasted %.4f\n", rt, good, wasted)
	var k []string; for x, n := range sum { k = append(k, fmt.Sprint(n, " ", x)) }; sort.Strings(k); fmt.Printf("   %v\n", k)
 }}}
}
