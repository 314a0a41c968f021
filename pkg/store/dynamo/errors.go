package dynamo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	smithy "github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/bronzelever/bronzelever/pkg/store"
)

// Error codes of the table service and the object store.
const (
	codeConditionFailed    = "ConditionalCheckFailedException"
	codePreconditionFailed = "PreconditionFailed"
	codeNoSuchKey          = "NoSuchKey"
	codeSlowDown           = "SlowDown"
)

// traceConnection returns a context for one request and a flag that is set once the request has obtained a connection,
// after which it may have been sent.
func traceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := new(atomic.Bool)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), connected
}

// mapError converts an SDK error to an error of package store.
func mapError(op operation, err error, connected *atomic.Bool) error {
	if err == nil {
		return nil
	}
	switch storeErr := storeErrorOf(op, err, connected); storeErr {
	case store.ErrConflict, store.ErrNotFound:
		return storeErr
	default:
		return fmt.Errorf("%w: %s: %v", storeErr, op, err)
	}
}

func storeErrorOf(op operation, err error, connected *atomic.Bool) error {
	var apiErr smithy.APIError
	if errors.As(err, &apiErr) {
		switch apiErr.ErrorCode() {
		case codeConditionFailed, codePreconditionFailed:
			return store.ErrConflict
		case codeNoSuchKey:
			return store.ErrNotFound
		case codeSlowDown:
			// SlowDown is the only 5xx response that guarantees that the request had no effect.
			return store.ErrUnavailable
		}
	}
	if op == opGet || op == opGetObject || !connected.Load() || rejected(err) {
		return store.ErrUnavailable
	}
	// There was no valid response, or the service reported an internal error. The service documents that a write may have
	// taken effect despite a 5xx response.
	return store.ErrAmbiguous
}

// rejected reports whether the service rejected the request with a 4xx status other than 408 (Request Timeout). Such a
// response, including throttling, means that the request had no effect.
func rejected(err error) bool {
	var responseErr *smithyhttp.ResponseError
	if !errors.As(err, &responseErr) {
		return false
	}
	status := responseErr.HTTPStatusCode()
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout
}

func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, store.ErrNotFound):
		return "not_found"
	case errors.Is(err, store.ErrConflict):
		return "conflict"
	case errors.Is(err, store.ErrAmbiguous):
		return "ambiguous"
	}
	return "unavailable"
}
