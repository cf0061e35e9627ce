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

// Request is a checked request of a caller.
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
	Prompt       string // text of a generation request
	MaxTokens    int
	Stream       bool
	Arrived      time.Time
	Deadline     time.Time
}

// Sink receives the tokens of a streamed answer in order.
type Sink interface {
	Token(text string) error
}

// Server runs a request to its end; it calls sink only for streamed answers.
type Server interface {
	Serve(ctx context.Context, request Request, sink Sink) outcome.Outcome
}

// fault is a request that cannot be accepted.
type fault struct {
	status  int
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

// hop lists the header fields that belong to one connection and are not passed on.
var hop = map[string]bool{
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

// route finds the service and route that a path names.
func route(services *document.Set, method, path string) (*document.Service, *document.Route, *fault) {
	if len(services.Names()) == 0 {
		return nil, nil, &fault{
			status:  http.StatusServiceUnavailable,
			message: "no service document is in force yet",
		}
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	found, ok := services.Document(ident.ServiceName(name))
	if !ok {
		return nil, nil, &fault{
			status:  http.StatusNotFound,
			message: "service " + quote(name) + " does not exist",
		}
	}
	known := false
	for i := range found.Service.Routes {
		candidate := &found.Service.Routes[i]
		if candidate.Path != "/"+rest {
			continue
		}
		known = true
		if candidate.Method == method {
			return found.Service, candidate, nil
		}
	}
	if known {
		return nil, nil, &fault{
			status:  http.StatusMethodNotAllowed,
			message: "method " + method + " is not served at " + quote(path),
		}
	}
	return nil, nil, &fault{
		status:  http.StatusNotFound,
		message: "service " + quote(name) + " has no route " + quote("/"+rest),
	}
}

// fill reads what the service document names from the header and body.
func fill(request *Request, header http.Header) *fault {
	fields, bad := decode(request)
	if bad != nil {
		return bad
	}
	request.Organisation = ident.OrganisationID(pick(header, fields, request.Route.OrganisationHeader, request.Route.OrganisationField))
	sourced := request.Route.OrganisationHeader != "" || request.Route.OrganisationField != ""
	if !sourced {
		request.Organisation = ident.OthersID
	}
	if request.Organisation == "" {
		return &fault{
			status:  http.StatusBadRequest,
			message: "request names no organisation",
		}
	}
	if sourced && !admits(request.Service, request.Organisation) {
		return &fault{
			status:  http.StatusForbidden,
			message: "organisation " + quote(string(request.Organisation)) + " is not admitted to service " + quote(string(request.Service.Name)),
		}
	}
	request.Identity = pick(header, fields, request.Route.IdentityHeader, request.Route.IdentityField)
	for name, values := range header {
		if hop[name] {
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

// admits reports whether a service serves an organisation. A document that lists
// shares serves only these organisations, unless it has a share for all others.
func admits(service *document.Service, organisation ident.OrganisationID) bool {
	_, listed := service.Shares[organisation]
	_, open := service.Shares[ident.OthersID]
	return listed || open || len(service.Shares) == 0
}

// decode parses the body as far as the route needs it.
func decode(request *Request) (map[string]json.RawMessage, *fault) {
	needsFields := request.Route.IdentityField != "" || request.Route.OrganisationField != ""
	if request.Service.Kind == document.Pipeline {
		var parsed completion
		if err := json.Unmarshal(request.Body, &parsed); err != nil {
			return nil, &fault{
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
			return nil, &fault{
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
		return nil, &fault{
			status:  http.StatusBadRequest,
			message: "body is not a JSON object: " + err.Error(),
		}
	}
	return fields, nil
}

func pick(header http.Header, fields map[string]json.RawMessage, headerName, fieldName string) string {
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

func quote(s string) string {
	const longest = 80 // keeps error bodies and logs short when the path is garbage
	if len(s) > longest {
		s = s[:longest]
	}
	quoted, _ := json.Marshal(s)
	return string(quoted)
}
