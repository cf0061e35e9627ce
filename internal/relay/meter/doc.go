// Package meter counts what a host does with requests, upstreams and the store.
//
// The counters and histograms are served as text. Their labels are routes,
// services and fixed words, so their number is bounded by the routing table.
package meter
