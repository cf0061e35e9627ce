// Package outcome defines what became of a request.
//
// Outcome is sealed: a request ends as exactly one of Answered, Refused, Failed
// or Unknown. Refused is the only one that states that no upstream received the
// request.
package outcome
