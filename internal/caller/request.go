package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/outcome"
	"github.com/nutmegshift/nutmegshift/pipeline"
)

// Request is a valid request of a caller.
type Request struct {
	ID           ident.RequestID
	Service      *document.Service
	Route        *document.Route
	Organisation ident.OrganisationID
	Identity     string // idempotency key; empty if the caller sent none
	Method       string
	Path         string // route path with its query
	Headers      []pipeline.Header
	Body         []byte
	Prompt       string // messages of a generation request, joined by newlines
	MaxTokens    int    // limit of generated tokens; at most that of the service, if it has one
	Stream       bool   // the caller asked for a token stream
	Arrived      time.Time
	Deadline     time.Time
}

// Sink receives the tokens of a streamed response in order.
type Sink interface {
	// Token sends the text of the next token to the caller. After an error the
	// response cannot be continued.
	Token(text string) error
}

// Server runs requests. It must be safe for concurrent use.
type Server interface {
	// Serve runs the request until it has an outcome. It calls sink only for
	// streamed responses.
	Serve(ctx context.Context, request Request, sink Sink) outcome.Outcome
}

// rejection is the HTTP status and message of the response to an invalid request.
type rejection struct {
	status  int
	reason  outcome.Reason // of a status that promises that the request may be sent again
	message string
}

type message struct {
	Content string `json:"content"`
}

type completion struct {
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

// hopByHopHeaders lists the header fields that apply to a single connection and
// are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// findRoute returns the service and the route for a method and path.
func findRoute(services *document.Set, method, path string) (*document.Service, *document.Route, *rejection) {
	if len(services.Names()) == 0 {
		return nil, nil, &rejection{
			status:  http.StatusServiceUnavailable,
			reason:  outcome.Unready,
			message: "no service document is in force yet",
		}
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	doc, ok := services.Document(ident.ServiceName(name))
	if !ok {
		return nil, nil, &rejection{
			status:  http.StatusNotFound,
			message: "service " + quote(name) + " does not exist",
		}
	}
	pathFound := false
	for i := range doc.Service.Routes {
		candidate := &doc.Service.Routes[i]
		if candidate.Path != "/"+rest {
			continue
		}
		pathFound = true
		if candidate.Method == method {
			return doc.Service, candidate, nil
		}
	}
	if pathFound {
		return nil, nil, &rejection{
			status:  http.StatusMethodNotAllowed,
			message: "method " + method + " is not served at " + quote(path),
		}
	}
	return nil, nil, &rejection{
		status:  http.StatusNotFound,
		message: "service " + quote(name) + " has no route " + quote("/"+rest),
	}
}

// parse sets the fields of request that come from its header and body, as its
// service and route prescribe.
func parse(request *Request, header http.Header) *rejection {
	fields, rejected := parseBody(request)
	if rejected != nil {
		return rejected
	}
	request.Organisation = ident.OrganisationID(headerOrField(header, fields, request.Route.OrganisationHeader, request.Route.OrganisationField))
	expectsOrganisation := request.Route.OrganisationHeader != "" || request.Route.OrganisationField != ""
	if !expectsOrganisation {
		request.Organisation = ident.OthersID
	}
	if request.Organisation == "" {
		return &rejection{
			status:  http.StatusBadRequest,
			message: "request names no organisation",
		}
	}
	if expectsOrganisation && !admits(request.Service, request.Organisation) {
		return &rejection{
			status:  http.StatusForbidden,
			message: "organisation " + quote(string(request.Organisation)) + " is not admitted to service " + quote(string(request.Service.Name)),
		}
	}
	request.Identity = headerOrField(header, fields, request.Route.IdentityHeader, request.Route.IdentityField)
	for name, values := range header {
		if hopByHopHeaders[name] {
			continue
		}
		for _, value := range values {
			request.Headers = append(request.Headers, pipeline.Header{
				Name:  name,
				Value: value,
			})
		}
	}
	return nil
}

// admits reports whether a service serves an organisation. A service with shares
// serves only the organisations listed there, unless it has a share for all others.
func admits(service *document.Service, organisation ident.OrganisationID) bool {
	_, listed := service.Shares[organisation]
	_, others := service.Shares[ident.OthersID]
	return listed || others || len(service.Shares) == 0
}

// parseBody parses the body as far as the service and route require. It sets the
// generation fields of request and returns the top-level fields of the body, or nil
// if the route reads none of them.
func parseBody(request *Request) (map[string]json.RawMessage, *rejection) {
	needsFields := request.Route.IdentityField != "" || request.Route.OrganisationField != ""
	if request.Service.Kind == document.Pipeline {
		var parsed completion
		if err := json.Unmarshal(request.Body, &parsed); err != nil {
			return nil, &rejection{
				status:  http.StatusBadRequest,
				message: "body is not a chat completion request: " + err.Error(),
			}
		}
		texts := make([]string, 0, len(parsed.Messages))
		for _, m := range parsed.Messages {
			texts = append(texts, m.Content)
		}
		request.Prompt = strings.Join(texts, "\n")
		if request.Prompt == "" {
			return nil, &rejection{
				status:  http.StatusBadRequest,
				message: "request has no message",
			}
		}
		request.Stream = parsed.Stream
		request.MaxTokens = parsed.MaxTokens
		if limit := request.Service.MaxTokens; limit > 0 && (request.MaxTokens <= 0 || request.MaxTokens > limit) {
			request.MaxTokens = limit
		}
	}
	if !needsFields || len(request.Body) == 0 {
		return nil, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(request.Body, &fields); err != nil {
		return nil, &rejection{
			status:  http.StatusBadRequest,
			message: "body is not a JSON object: " + err.Error(),
		}
	}
	return fields, nil
}

// headerOrField returns the value of the named header field or, if that is empty or
// not configured, of the named body field. Body values that are not strings are
// returned as JSON.
func headerOrField(header http.Header, fields map[string]json.RawMessage, headerName, fieldName string) string {
	if headerName != "" {
		if value := header.Get(headerName); value != "" {
			return value
		}
	}
	if fieldName == "" {
		return ""
	}
	raw := fields[fieldName]
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// quote returns s as a JSON string, cut to a length that suits a message.
func quote(s string) string {
	const maxLength = 80 // bytes; keeps error bodies and logs short if the path is garbage
	if len(s) > maxLength {
		s = s[:maxLength]
	}
	quoted, _ := json.Marshal(s)
	return string(quoted)
}
