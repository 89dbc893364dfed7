// Package quota is the reducer by which a control VM counts, over all forwarders, the
// organisations' use of their quotas. It is pure: time comes in events.
//
// The leading control VM keeps a token bucket for each organisation's quota. Only one
// control VM leads at a time and each leader begins with empty buckets, so all leaders
// together grant no more than the quota, however often the leader changes and whatever
// state is lost.
//
// While there is no leader, or forwarders can't reach it, each control VM grants from a
// reserve of its own. The reserves of all control VMs together are a part of the amount by
// which a quota may be exceeded. They need no agreement and keep the bound in any partition.
package quota
