// Package ident defines the named types of the ids, versions and addresses that the
// other packages share. It holds no state.
package ident
