// Package memkv is an in-memory kv.Store with fault switches.
//
// It serves as the fake of tests and as the state of the stand-in key-value
// service. One mutex guards all state; no method holds it while it waits.
package memkv
