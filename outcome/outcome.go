package outcome

// Reason is the cause of an outcome other than Answered.
type Reason string

// The reasons that callers and operators see.
const (
	Overload         Reason = "overload"
	Deadline         Reason = "deadline"
	Unready          Reason = "unready"
	Stopping         Reason = "stopping"
	StoreUnavailable Reason = "store_unavailable"
	NoUpstream       Reason = "no_upstream"
	Quarantined      Reason = "quarantined"
	Invalid          Reason = "invalid"
	InProgress       Reason = "in_progress" // an earlier request with the same identity or content has no outcome yet
	UpstreamError    Reason = "upstream_error"
	ConnectionLost   Reason = "connection_lost"
	Incomplete       Reason = "incomplete"
	NotKept          Reason = "answer_not_kept" // the request completed before, but its response is not stored
)

// Outcome is the sealed set of outcomes of a request.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Answered holds the complete response to a request.
type Answered struct {
	Status int
	Type   string // content type
	Body   []byte
	Stream bool // the body has been sent to the caller as a stream
}

// Refused states that the request did not run at any upstream.
type Refused struct {
	Reason  Reason
	Message string
}

// Failed states that the request ran and is known to have failed.
type Failed struct {
	Status  int
	Reason  Reason
	Message string
}

// Unknown states that the request may have run and will not be run again.
type Unknown struct {
	Reason  Reason
	Message string
}

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Failed) outcome()   {}
func (Unknown) outcome()  {}
