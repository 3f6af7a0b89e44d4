// Package place chooses a backend server for each request to a pool of model engines.
//
// For a request and a replica it estimates, in milliseconds:
//
//   - The time to first token: a base time, the prefill time of the prompt tokens that
//     are queued there and of the request's own tokens outside the replica's prefix
//     cache, and the wait for a free slot. Base time and time per token are fitted to
//     the observed times to first token of the pool, and scaled by the replica's
//     slowdown, its observed over its predicted times.
//   - The interference, in a partitioned pool: the cost of making streams beside a long
//     prompt late, and of a replica of the other part.
//   - A penalty for distance, shared parts that are prefilled again, running streams,
//     recent failures, and a replica that is reserved for requests with shorter targets
//     and would be busy for longer than these allow.
//
// The load is that of this process, and of the other processes as they last reported it.
//
// Pick minimises the sum of the three. A replica is eligible where the time to first
// token, plus the interference times the confidence in its estimate, is at most 0.95 of
// the request's target. A reserved replica that would be busy for too long is not
// eligible, except for requests of a more urgent tier. A small share of all prefill time
// goes to prompts that are too long for their target on any replica. A request without
// an eligible replica is not placed: it waits in its queue, and is refused when its time
// there is over. Requests without a prompt go to plain services, by load and distance
// only.
//
// An engine prefills prompts in chunks between the decode steps of its streams. A long
// prompt therefore lengthens the pauses of every stream beside it. Where they become
// too long, the pool is partitioned: long prompts and the streams of short ones run on
// different replicas, whose numbers follow the load.
//
// The package does no I/O and takes the present time as an argument. It is not
// safe for concurrent use.
package place
