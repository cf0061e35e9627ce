// Package experiment compares policies and deployments by emulated runs.
//
// A Plan plays variants of a deployment, each with the same seeds, and with each
// value of a setting that is varied. Its points go into a table and a plot.
package experiment
