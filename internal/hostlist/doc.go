// Package hostlist reads the platform's list of live and leaving hosts.
//
// The list may be out of date; readers correct it by their own observations.
package hostlist
