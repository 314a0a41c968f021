package inputcheck

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

const (
	// MaxHeaderBytes limits the total size of a request's URI and header fields, so that the request fits in one frame of the
	// wire protocol.
	MaxHeaderBytes  = 64 << 10
	maxHeaderFields = 200
	maxKeyBytes     = 1024
	// defaultMaxBodyBytes is the body limit of routes that configure none.
	defaultMaxBodyBytes = 1 << 30
)

// Filter sets Exchange.Key and Exchange.Body.
type Filter struct{}

// Handle implements filter.Filter.
func (*Filter) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) (*exchange.Response, error) {
	if err := checkHeaders(x.Request); err != nil {
		return nil, err
	}
	limit := x.Route.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.Request.ContentLength > limit {
		detail := "the announced body exceeds the route's bound"
		return nil, problem.New(http.StatusRequestEntityTooLarge, problem.CodeBodyTooLarge, problem.NotRun, detail)
	}
	key, err := extractKey(x.Request, x.Route.Key)
	if err != nil {
		return nil, err
	}
	if x.Pool.Keyed && key == "" {
		return nil, problem.New(http.StatusBadRequest, problem.CodeNoKey, problem.NotRun, "the request has no key")
	}
	x.Key = key
	x.Body = filter.NewBody(x.Request.Body, x.Request.ContentLength, limit)
	return next(ctx, x)
}

// checkHeaders returns a 431 error if the header fields of r exceed the limits on their number or total size.
func checkHeaders(r *http.Request) error {
	count, size := 0, len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			count++
			size += len(name) + len(v)
		}
	}
	if count > maxHeaderFields || size > MaxHeaderBytes {
		detail := "the header fields exceed the bound"
		return problem.New(http.StatusRequestHeaderFieldsTooLarge, problem.CodeBadRequest, problem.NotRun, detail)
	}
	return nil
}

// extractKey returns the key of r from the place that source configures, or "" if there is none.
func extractKey(r *http.Request, source config.KeySource) (string, error) {
	var key string
	var ok bool
	switch source.Place {
	case config.KeyInHeader:
		key, ok = filter.SingleHeaderValue(r.Header, source.Name)
	case config.KeyInQuery:
		key, ok = singleQueryValue(r.URL, source.Name)
	case config.KeyInPath:
		key, ok = pathSegment(r.URL, source.Segment)
	default:
		return "", nil
	}
	if !ok {
		return "", filter.BadRequest("the request has conflicting or malformed keys")
	}
	if len(key) > maxKeyBytes {
		return "", filter.BadRequest("the key is too long")
	}
	return key, nil
}

// singleQueryValue returns the value of a query parameter that must have at most one distinct value. It returns false if the
// parameter has different values or the query is malformed.
func singleQueryValue(u *url.URL, name string) (string, bool) {
	query, err := url.ParseQuery(u.RawQuery)
	if err != nil {
		return "", false
	}
	return filter.SingleHeaderValue(http.Header{http.CanonicalHeaderKey(name): query[name]}, name)
}

// pathSegment returns the unescaped path segment with the given index, or "" if the path is shorter. It returns false if the
// segment is malformed.
func pathSegment(u *url.URL, index int) (string, bool) {
	segments := strings.Split(strings.TrimPrefix(u.EscapedPath(), "/"), "/")
	if index < 0 || index >= len(segments) {
		return "", true
	}
	s, err := url.PathUnescape(segments[index])
	return s, err == nil
}
