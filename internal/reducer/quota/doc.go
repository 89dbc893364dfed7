// Package quota is the reducer that counts, in a control VM, what organisations ask for
// over all forwarders. It is pure: time comes in events.
//
// The control VM that leads keeps a bucket of each organisation's quota. Only one control
// VM leads at a time, and it begins with empty buckets, so that all leaders together give
// no more than the quota, however often they change and whatever they forget.
//
// While nobody leads, or the leader is not reached, each control VM gives from a reserve of
// its own. The reserves of all control VMs together are a part of what the quota may be
// exceeded by: they need no agreement, and hold in any partition.
package quota
