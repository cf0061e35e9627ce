// Package share divides a service that is short of capacity among organisations.
//
// An Accounts counts, for one service, the cost of the work that each organisation has
// offered and of the part that was admitted. The counters decay within seconds. While
// offered work is refused, the shares are the max-min fair division of what is admitted:
// an organisation that offers less than its share gets all of it, and the remainder is
// divided among the others by weight. The same rule divides the share of an organisation
// among its classes of urgency.
//
// Usage is compared with the share as a ratio. Limit lowers the delay that work may have
// with that ratio, so that organisations above their shares are refused first, and those
// that are equally far above them are refused equally often, whatever the rate of their
// attempts.
//
// The package has no input or output. Locking: an Accounts has no lock and is not safe
// for concurrent use.
package share
