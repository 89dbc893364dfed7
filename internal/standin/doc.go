// Package standin implements stand-ins for the systems around the router: model
// engines, plain services, a weight store and links of limited rate. They serve their
// protocols over loopback HTTP, can be called in the same process, and support fault
// injection. They are for development and tests. Within the router, only the dev and
// load commands import them.
//
// The stand-ins model time but do no real work. An engine waits for the duration of a
// prefill or a decode step. A transfer waits at a rate limiter for all of its bytes,
// while its body is scaled down. An engine runs one goroutine while it has work and
// none while it is idle.
package standin
