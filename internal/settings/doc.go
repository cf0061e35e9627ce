// Package settings reads the INI settings file of an entry host.
//
// The file is checked whole: every unknown key, wrong unit, missing or
// contradictory value is reported at once, with its section and key. The
// result is immutable.
package settings
