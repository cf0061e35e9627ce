// Package settings parses the INI settings files of entry hosts and relays.
//
// The whole file is checked before an error is returned: the error lists every
// unknown key, wrong unit, and missing or contradictory value with its section
// and key. The result must not be modified.
package settings
