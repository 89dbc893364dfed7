// Package quotalease is the reducer by which control VMs decide who may grant quotas while
// there is no leader. It is pure: time comes in events.
//
// A control VM without a leader leases its vote to one candidate at a time. A candidate with
// the leases of exactly half of the members may grant half of each quota, one with more than
// half all of it. As a member leases to one candidate only, the shares of all holders add up
// to at most the whole. A member leases only after the lease that it may have granted to a
// leader by its last acknowledgement has ended.
//
// A new leader asks the members for the leases in force before it grants the whole quota.
package quotalease
