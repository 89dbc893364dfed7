// Package role runs the roles of the program: it joins each role's reducer to
// the adapters that speak to its peers. A role owns one loop; every event of
// the role passes through it in turn, and the effects are carried out by
// goroutines that post their outcome back as events.
package role
