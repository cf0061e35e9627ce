// Package memkv is an in-memory kv.Store with fault injection.
//
// Tests use it as a fake, and the stand-in key-value service stores its data in
// it. One mutex guards all state; no method holds it while it waits.
package memkv
