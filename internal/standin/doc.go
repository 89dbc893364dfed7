// Package standin holds small fakes of what the router stands between: model
// engines, plain services, a weight store and links of limited rate. They
// serve their protocols over loopback HTTP, can be called in the same process,
// and break on request. They are for development and tests; nothing of the
// router imports them but the dev and load commands.
//
// Time is modelled, work is not: an engine spends the time of a prefill or a
// decode step by waiting, and a transfer pays for its bytes at a rate limiter
// while its body is scaled down. One engine runs one goroutine while it has
// work and none while it is idle.
package standin
