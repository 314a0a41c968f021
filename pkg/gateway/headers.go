package gateway

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/bronzelever/bronzelever/pkg/hopbyhop"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Header fields between gateway and target.
const (
	headerGroupEpoch     = "Bronzelever-Group-Epoch"
	headerSliceEpoch     = "Bronzelever-Slice-Epoch"
	headerKeyHash        = "Bronzelever-Key-Hash"
	headerDeadline       = "Bronzelever-Deadline-Ms"
	headerNotRun         = "Bronzelever-Not-Run"
	headerIdempotencyKey = "Idempotency-Key"
)

// reserved are header fields that only the gateway may set.
var reserved = map[string]bool{
	headerGroupEpoch: true,
	headerSliceEpoch: true,
	headerKeyHash:    true,
	headerDeadline:   true,
	headerNotRun:     true,
}

// stamp is what the gateway tells the target about its authority for the request.
type stamp struct {
	checked    bool
	groupEpoch topology.Epoch
	sliceEpoch topology.Epoch
}

// newTargetRequest builds the HTTP request for a target.
func newTargetRequest(request *wire.Request, address string, s stamp, remaining time.Duration, body *callerBody) (*http.Request, error) {
	target, err := url.ParseRequestURI(request.Path)
	if err != nil {
		return nil, err
	}
	target.Scheme = "http"
	target.Host = address
	r := &http.Request{
		Method:        request.Method,
		URL:           target,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        targetHeaders(request, s, remaining),
		Host:          address,
		ContentLength: request.ContentLength,
		Body:          body,
	}
	if request.ContentLength == 0 {
		r.Body = http.NoBody
	}
	return r, nil
}

func targetHeaders(request *wire.Request, s stamp, remaining time.Duration) http.Header {
	h := make(http.Header, len(request.Headers)+6)
	var options []string
	for _, field := range request.Headers {
		name := http.CanonicalHeaderKey(field.Name)
		if name == "Connection" {
			options = append(options, field.Value)
		}
		if hopbyhop.IsField(name) || reserved[name] || name == "Host" {
			continue
		}
		h[name] = append(h[name], field.Value)
	}
	for name := range hopbyhop.ConnectionOptions(options) {
		h.Del(name)
	}
	if _, ok := h["User-Agent"]; !ok {
		// Keeps net/http from adding its own.
		h["User-Agent"] = []string{""}
	}
	if h.Get(headerRequestID) == "" {
		// The ID of the exchange differs from the caller's: retries and hedges have IDs of their own.
		h.Set(headerRequestID, request.ID)
	}
	// Rounded down, so that the target never works longer than the gateway assumes.
	h.Set(headerDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if request.IdempotencyKey != "" {
		h.Set(headerIdempotencyKey, request.IdempotencyKey)
	}
	if s.checked {
		h.Set(headerGroupEpoch, strconv.FormatUint(uint64(s.groupEpoch), 10))
		h.Set(headerSliceEpoch, strconv.FormatUint(uint64(s.sliceEpoch), 10))
		h.Set(headerKeyHash, strconv.FormatUint(request.KeyHash, 10))
	}
	return h
}

// emptyBody is the body of an answer without one.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) {
	return 0, io.EOF
}

// Close implements io.Closer.
func (emptyBody) Close() error {
	return nil
}
