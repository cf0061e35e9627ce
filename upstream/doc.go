// Package upstream chooses the upstream that serves a stage.
package upstream
