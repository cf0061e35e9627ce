// Package timeline records the events of a process in a bounded ring buffer and
// merges the events of several processes into one order.
//
// Events are stamped by a hybrid logical clock. A process that receives a
// stamp from another must observe it before it records events, so that a cause
// always sorts before its effect. Clock and Ring are safe for concurrent use; each
// has one mutex that is held only for the duration of a method.
package timeline
