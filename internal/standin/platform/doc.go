// Package platform is the stand-in for the platform's services: the key-value
// service, the host list and the weight store, with fault switches.
//
// The key-value service keeps its state in a memkv.Store. A write is executed
// even if its client has disconnected. With the fault LoseResponse, the
// connection is dropped after the write took effect. The host list has one
// mutex, which no method holds while it waits.
package platform
