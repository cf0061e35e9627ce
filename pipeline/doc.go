// Package pipeline runs the stages of one request under one deadline.
package pipeline
