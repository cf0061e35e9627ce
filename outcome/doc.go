// Package outcome defines the possible outcomes of a request.
//
// Outcome is sealed: a request ends as exactly one of Answered, Refused, Failed
// or Unknown. Only Refused states that no upstream received the request.
package outcome
