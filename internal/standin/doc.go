// Package standin runs stand-ins for the platform and its upstreams in one
// process.
//
// Settings are an INI file with one section "[upstream NAME]" per upstream, one
// section "[entry NAME]" per entry host and an optional section "[platform]",
// whose keys Parse returns unchecked. Run listens on all addresses before it
// serves, so a failure to listen starts nothing.
package standin
