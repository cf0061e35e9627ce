package httpstatus

import "net/http"

// lastFinal is the last status of the classes that HTTP defines.
const lastFinal = 599

// Kind tells what the status of a response means for the exchange.
type Kind uint8

// The kinds of statuses.
const (
	Invalid       Kind = iota + 1 // the response is damaged
	Informational                 // another response follows
	Final                         // the response is the last of the exchange
)

// KindOf returns the kind of a status. Status 101 is invalid: no request of this system asks
// for another protocol.
func KindOf(status int) Kind {
	switch {
	case status >= http.StatusOK && status <= lastFinal:
		return Final
	case status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols:
		return Informational
	}
	return Invalid
}
