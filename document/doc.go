// Package document stores the service documents that operators apply and
// distributes them to hosts.
//
// A service has one document, an INI text owned by one team. Its key
// "service/<name>" in the store holds the current text, the metadata of its
// revision and the preceding revisions. The key is written only by
// compare-and-swap, so each revision has exactly one change and revisions
// increase by one. Apply parses a text in full before it writes it, so every
// host can put every accepted document into effect.
//
// Registry is the set of documents in effect in a process. It never replaces a
// document by a lower revision, in whatever order documents are offered.
// Spreader decides when a host watches the store, lists it or pulls documents
// from a peer; Syncer performs these actions.
//
// Locking: Registry has one mutex for writers, and readers load a pointer to
// an immutable Set. Spreader has one mutex, held for the duration of a method
// and acquired before that of Registry. No lock is held during a call to the
// store or a peer.
package document
