//go:build review

// Command second runs the scripted cases of the second review, review/6 to review/10, which
// share it. It stands in the folder of the first one.
//
// Each case starts relays as separate processes with the command of the deploy file. The
// store, the engines, the links between them and the clients are stand-ins in this process.
// The case writes what was sent, answered and run to record.txt in its folder. The exit
// status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main
