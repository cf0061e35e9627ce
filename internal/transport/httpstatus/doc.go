// Package httpstatus tells which statuses of HTTP/1.1 end an exchange. The parser of
// net/http accepts any number of three digits.
package httpstatus
