// Package meter provides the metrics of a host about requests, upstreams and the
// store.
//
// The counters and histograms are exported in the Prometheus text format. Their
// labels are routes, services and fixed words, so their number is bounded by the
// routing table.
package meter
