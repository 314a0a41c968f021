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

// Error codes of the services.
const (
	codeConditionFailed    = "ConditionalCheckFailedException"
	codePreconditionFailed = "PreconditionFailed"
	codeNoSuchKey          = "NoSuchKey"
	codeSlowDown           = "SlowDown"
)

// watchSending tells whether a request may have left: it is set once a connection was available.
func watchSending(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := new(atomic.Bool)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}), sent
}

// mapError turns an error of the SDK into one of package store.
func mapError(op operation, err error, sent *atomic.Bool) error {
	if err == nil {
		return nil
	}
	switch kind := kindOf(op, err, sent); kind {
	case store.ErrConflict, store.ErrNotFound:
		return kind
	default:
		return fmt.Errorf("%w: %s: %v", kind, op, err)
	}
}

func kindOf(op operation, err error, sent *atomic.Bool) error {
	var api smithy.APIError
	if errors.As(err, &api) {
		switch api.ErrorCode() {
		case codeConditionFailed, codePreconditionFailed:
			return store.ErrConflict
		case codeNoSuchKey:
			return store.ErrNotFound
		case codeSlowDown:
			// The only 5xx answer that promises that nothing happened.
			return store.ErrUnavailable
		}
	}
	if op == opGet || op == opGetObject || !sent.Load() || refused(err) {
		return store.ErrUnavailable
	}
	// No answer, a broken one, or an internal error: the service documents that a write may have taken effect after 5xx.
	return store.ErrAmbiguous
}

// refused tells whether the service answered that it rejects the request. A 4xx answer, throttling included, means that
// the request had no effect.
func refused(err error) bool {
	var response *smithyhttp.ResponseError
	if !errors.As(err, &response) {
		return false
	}
	status := response.HTTPStatusCode()
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout
}

func resultOf(err error) string {
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
