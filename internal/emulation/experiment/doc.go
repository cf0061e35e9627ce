// Package experiment compares policies and deployments by emulated runs.
//
// A Plan runs variants of a deployment with the same seeds, and with each value of a
// setting that is swept. Tables and plots show the resulting points.
package experiment
