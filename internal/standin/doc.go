// Package standin runs stand-ins of the platform in one process.
//
// Settings are an INI file with one section "[upstream NAME]" per upstream and
// an optional section "[platform]", which is passed on unread. Run listens on
// all addresses before it serves, so a failure to listen starts nothing.
package standin
