// Package ident defines the named types for the ids and units that the other
// packages share. It holds no state.
package ident
