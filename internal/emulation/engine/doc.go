// Package engine emulates model engines in simulated time.
//
// An engine works in steps. In a step each request whose prompt has been read
// makes one token, and a chunk of one prompt is read besides, so a long prompt
// delays the tokens of all others. Requests and the parts of prompts that are kept
// for later ones share the memory; the parts that were used least recently yield,
// and if that is not enough, the newest of the least urgent requests is preempted
// and reads its prompt again.
package engine
