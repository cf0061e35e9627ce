// Package caller serves callers over HTTP/1.1.
//
// Callers address "/<service><route path>" with JSON bodies and receive JSON or,
// for generated text, server-sent events in the chat-completions form. The
// package parses a request, hands it to a Server and writes the outcome; it
// decides nothing about where or whether the request runs. The response head of
// a stream is sent with the first token, so that a refusal keeps its status.
package caller
