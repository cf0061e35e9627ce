package ident

// HostID names one entry host.
type HostID string

// Incarnation identifies one run of a host or an upstream at one address; a
// restart has a higher one.
type Incarnation uint64

// ServiceName names a service and its document.
type ServiceName string

// PoolName names a group of interchangeable upstreams of one service.
type PoolName string

// UpstreamID names one upstream.
type UpstreamID string

// OrganisationID names the organisation on whose behalf a request runs.
type OrganisationID string

// OthersID stands for all organisations that are not listed by name in a table of
// shares.
const OthersID OrganisationID = "others"

// FailureDomain names a set of hosts that fail together.
type FailureDomain string

// Region names a set of failure domains.
type Region string

// RequestID names one request from a caller.
type RequestID string

// AttemptID names one attempt at one stage of a request.
type AttemptID string

// StageName names one stage of a pipeline.
type StageName string

// ModelName names a model, adapter or version that an engine can load.
type ModelName string

// ChangeID names one change of a service document.
type ChangeID string

// TeamName names the team that owns a service document.
type TeamName string

// Revision numbers the accepted versions of a service document, from 1 upward.
type Revision uint64

// FencingNumber orders the holders of a lease; a later holder has a higher one.
type FencingNumber uint64

// Address is an IP address and a port, as in "127.0.0.1:8080".
type Address string
