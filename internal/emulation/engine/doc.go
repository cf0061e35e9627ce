// Package engine emulates model engines in simulated time.
//
// An engine works in steps, with continuous batching and chunked prefill. In a step,
// each request whose prompt has been read generates one token, and the engine also
// reads a chunk of prompt tokens, so a long prompt delays the tokens of all other
// requests. Running requests and the prefix cache share the memory. To free memory,
// the engine evicts the least recently used parts of prompts; if that is not enough,
// it preempts the newest of the least urgent requests, whose prompt is then read
// again.
package engine
