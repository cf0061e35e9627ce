// Package command implements the command line of nutmegshift.
//
// Each command reads its flags, calls one package and prints the result. A
// command that fails prints one message to standard error and exits with 1.
package command
