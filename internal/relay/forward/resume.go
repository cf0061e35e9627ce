package forward

import "github.com/nutmegshift/nutmegshift/ident"

// resumes reports whether the caller takes up a stream of which it has received events.
func (e *exchange) resumes() bool { return e.head.LastEvent > 0 }

// hasRelease reports whether an upstream may run the rest of the stream.
func (e *exchange) hasRelease() bool {
	for _, upstream := range e.config.Fleet.Snapshot().Ready(e.service.Name) {
		if e.release == "" || upstream.Release == e.release {
			return true
		}
	}
	return false
}

// otherReleases returns the upstreams that may not run the rest of the stream.
func (e *exchange) otherReleases() []ident.UpstreamID {
	var others []ident.UpstreamID
	if e.release == "" {
		return nil
	}
	for _, upstream := range e.config.Fleet.Snapshot().Ready(e.service.Name) {
		if upstream.Release != e.release {
			others = append(others, upstream.ID)
		}
	}
	return others
}
