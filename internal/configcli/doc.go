// Package configcli is the operators' side of service documents: check, apply,
// show, history and diff over a key-value store, with results on a writer.
//
// It holds no state and takes no locks. The command line maps its flags onto
// the functions of this package and their errors onto exit codes.
package configcli
