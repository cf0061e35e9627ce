// Package poison finds out which requests crash the upstreams that respond to them, and
// blocks them.
//
// Requests that crash upstreams need not be equal: a part of their prompts may be all
// that they have in common. So a request has several fingerprints, one of its content
// and one of each part of its prompt that other requests may share. A host that sees an
// upstream crash reports the fingerprints of the requests that the upstream may just
// have begun to respond to. Most of these requests are bystanders. Two facts set the
// cause apart from them: it is in flight at every crash, and no upstream survives a
// response to it. A fingerprint is sound for some time once an upstream has kept running
// after it had begun to respond.
//
// The verdict is the smallest set of hypotheses that explains the reported crashes, with
// hypotheses that block few requests preferred. Hosts exchange their reports, and state
// that a fingerprint is sound if others suspect it. Every host derives its verdict from
// what it knows, so a wrong one ends as soon as the missing report arrives. If none does,
// one host probes the verdict: from time to time it lets a request through that has what is
// blocked, and as little as possible of what else may have caused the crashes.
//
// Locking: one mutex of the Table guards its fields and those of its Attempts. It is not
// held while functions of the Config or of watchers are called.
package poison
