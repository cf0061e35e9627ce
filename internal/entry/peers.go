package entry

import (
	"context"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
)

// noPeers is a host without other entry hosts.
type noPeers struct{}

// Documents implements document.Puller.
func (noPeers) Documents(context.Context, ident.HostID, []ident.ServiceName, map[ident.ServiceName]ident.Revision) ([]document.Versioned, error) {
	return nil, errors.New("no other entry host is known")
}
