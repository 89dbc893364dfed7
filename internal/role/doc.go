// Package role runs the roles of the program for packages cli and platform: it connects
// each role's reducer to the network, the disk and the clock. Entry, Sidecar and
// MemberLeader each own a Loop that reduces their events one at a time. Goroutines perform
// the effects and post their outcome back to the loop as events.
package role
