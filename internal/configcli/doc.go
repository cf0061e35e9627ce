// Package configcli implements the operators' commands for service documents:
// check, apply, show, history and diff. They read and write documents in a
// key-value store and print results to a writer.
//
// The package holds no state and takes no locks. The command line maps its flags
// to the arguments of these functions and their errors to exit codes.
package configcli
