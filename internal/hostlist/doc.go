// Package hostlist reads the platform's list of live and leaving hosts.
//
// The list lags behind the truth; readers treat it as a base that their own
// observations correct.
package hostlist
