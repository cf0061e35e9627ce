// Package document holds the service documents that operators apply.
//
// A service has one document, an INI text owned by one team. Its key
// "service/<name>" in the store holds the current text with its place in the
// sequence of changes and the preceding revisions, and changes only by
// compare-and-swap, so each revision has one change and revisions rise by one.
// A text is parsed in full before Apply writes it, so every host can put every
// accepted document into effect.
//
// Registry is the set of documents in effect in a process. It never replaces a
// document by one of a lower revision, whatever the order of offers. Spreader
// decides when a host watches the store, lists it or pulls documents from a
// peer; Syncer performs what it decides.
//
// Locking: Registry has one mutex for writers, and readers load a pointer to
// an immutable Set. Spreader has one mutex, held for the duration of a method
// and acquired before that of Registry. No lock is held during a call to the
// store or a peer.
package document
