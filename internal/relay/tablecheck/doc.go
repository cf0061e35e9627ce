// Package tablecheck reviews a routing table before it is published.
//
// Check reports what makes a table wrong although it can be decoded: references to services
// that do not exist, entries that can never match, and limits that contradict each other.
// Compare reports what differs from the table in force. Neither has any input or output.
package tablecheck
