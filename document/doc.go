// Package document holds the service documents that operators apply.
package document
