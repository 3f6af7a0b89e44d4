// Package place chooses a backend server for each request to a pool of model engines.
//
// For a request and a replica it predicts, in milliseconds, the time to first token:
// a base time and a time for each prompt token that the engine has yet to prefill,
// queued or of the request itself, without those in its prefix cache. To these come
// the wait for a free slot and the replica's slowdown, its observed over its predicted
// times. Base and time per token are fitted to the observed times to first token of
// the pool. The load is that of this process and of its peers, as they last reported
// it.
//
// Pick minimises this time plus two costs in milliseconds: the interference with
// streams beside a long prompt, and a penalty for distance, for shared parts that are
// prefilled again, for running streams, for use of a reserved replica and for recent
// failures. Only replicas where the first token is expected within the request's
// target are eligible; a small share of the prefill time goes to prompts that are too
// long for their target anywhere. A request without an eligible replica is not placed:
// it waits in its queue, and is refused when its time there is over.
//
// An engine prefills prompts in chunks between the decode steps of its streams. A long
// prompt therefore lengthens the pauses of every stream beside it. Where they become
// too long, the pool is partitioned: long prompts and the streams of short ones run on
// different replicas, whose numbers follow the load.
//
// The package does no I/O and takes the present time as an argument. It is not
// safe for concurrent use.
package place
