package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/bronzelever/bronzelever/internal/standin/bundle"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

// maxResponseBytes limits the size of responses other than downloads.
const maxResponseBytes = 1 << 20

const headerNotRun = "Bronzelever-Not-Run"

type httpClient interface {
	Do(*http.Request) (*http.Response, error)
}

// exchange is one request with the values that its response must contain.
type exchange struct {
	class *Class
	// id is the request ID. It is also the idempotency key of an order and the name of a bundle.
	id       string
	key      string
	urlIndex int
	repeat   bool
	// repeatConcurrently sends the repeat without waiting for the first response.
	repeatConcurrently bool
}

// send tries the URLs until one accepts a connection. For an order it also returns the body of a correct response.
func (e *exchange) send(ctx context.Context, client httpClient, b *balancer) (result, string) {
	for _, n := range b.candidates(e.urlIndex) {
		request, err := e.request(ctx, b.urls[n])
		if err != nil {
			return result{outcome: unreachable, status: "bad URL"}, ""
		}
		response, err := client.Do(request)
		if err == nil {
			defer response.Body.Close()
			return e.evaluate(response)
		}
		if !isDialError(err) {
			return result{outcome: unknown, status: errorKind(err)}, ""
		}
		b.skip(n)
		if ctx.Err() != nil {
			break
		}
	}
	return result{outcome: unreachable, status: "no connection"}, ""
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func errorKind(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "time-out"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	}
	return "transport error"
}

func (e *exchange) request(ctx context.Context, base string) (*http.Request, error) {
	method, path, body := e.content()
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(base, "/")+path, body)
	if err != nil {
		return nil, err
	}
	h := request.Header
	h.Set("X-Request-Id", e.id)
	h.Set("Request-Timeout-Ms", strconv.FormatInt(e.class.Timeout.Milliseconds(), 10))
	if e.class.Tenant != "" {
		h.Set("Bronzelever-Tenant", e.class.Tenant)
	}
	switch e.class.Kind {
	case Order:
		h.Set("Idempotency-Key", e.id)
		h.Set("Content-Type", "application/json")
	case Upload:
		request.ContentLength = e.class.BundleBytes
		h.Set(bundle.ChecksumHeader, bundle.ChecksumOf(e.id, e.class.BundleBytes))
		h.Set("Content-Type", "application/octet-stream")
	}
	return request, nil
}

func (e *exchange) content() (method, path string, body io.Reader) {
	switch e.class.Kind {
	case Order:
		return http.MethodPost, e.class.Path, bytes.NewReader(e.orderBody())
	case Upload:
		return http.MethodPost, e.class.Path, bundle.NewReader(e.id, e.class.BundleBytes)
	case Download:
		return http.MethodGet, fmt.Sprintf("%s%s?bytes=%d", e.class.Path, url.PathEscape(e.id), e.class.BundleBytes), nil
	default:
		return http.MethodGet, e.class.Path + url.PathEscape(e.key), nil
	}
}

func (e *exchange) orderBody() []byte {
	return fmt.Appendf(nil, `{"order":%q,"part":%q}`, e.id, e.key)
}

// evaluate reads the response and determines the result of the request.
func (e *exchange) evaluate(response *http.Response) (result, string) {
	if response.StatusCode/100 != 2 {
		return classifyRefusal(response), ""
	}
	status := strconv.Itoa(response.StatusCode)
	detail, body, err := e.check(response)
	if err != nil {
		return result{outcome: unknown, status: status + " broken body"}, ""
	}
	if detail != "" {
		return result{outcome: wrong, status: status, detail: e.id + ": " + detail}, ""
	}
	return result{outcome: answered, status: status}, body
}

func classifyRefusal(response *http.Response) result {
	status := strconv.Itoa(response.StatusCode)
	var problemBody struct {
		Code string `json:"code"`
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err == nil && json.Unmarshal(body, &problemBody) == nil && problemBody.Code != "" {
		status += " " + problemBody.Code
	}
	switch {
	case response.Header.Get(problem.HeaderOutcome) == string(problem.NotRun), response.Header.Get(headerNotRun) == "1":
		return result{outcome: refusedNotRun, status: status}
	case response.Header.Get(problem.HeaderOutcome) == string(problem.Ran):
		return result{outcome: failed, status: status}
	}
	return result{outcome: unknown, status: status}
}

// check returns a description of what is wrong with a complete response, or an error if the response is visibly incomplete.
func (e *exchange) check(response *http.Response) (detail, body string, err error) {
	if e.class.Kind == Download {
		detail, err = e.checkDownload(response)
		return detail, "", err
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return "", "", err
	}
	var parsed responseBody
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return "the response is not valid JSON: " + err.Error(), "", nil
	}
	switch e.class.Kind {
	case Order:
		return e.checkOrder(&parsed), string(raw), nil
	case Upload:
		return e.checkUpload(&parsed), "", nil
	default:
		return e.checkRead(&parsed), "", nil
	}
}

// responseBody is the union of the response bodies of the services; see package target.
type responseBody struct {
	Key          string `json:"key"`
	RequestID    string `json:"request_id"`
	Order        string `json:"order"`
	Runs         int    `json:"runs"`
	BodyChecksum string `json:"body_checksum"`
	Bytes        int64  `json:"bytes"`
	Checksum     string `json:"checksum"`
}

func (e *exchange) checkRead(a *responseBody) string {
	if a.Key != e.key || a.RequestID != e.id {
		return fmt.Sprintf("requested key %q, got the response to request %q for key %q", e.key, a.RequestID, a.Key)
	}
	return ""
}

func (e *exchange) checkOrder(a *responseBody) string {
	h := bundle.NewHash()
	_, _ = h.Write(e.orderBody())
	if a.Order != e.id || a.RequestID != e.id || a.BodyChecksum != bundle.Checksum(h) {
		return fmt.Sprintf("got the response to request %q, order %q", a.RequestID, a.Order)
	}
	if a.Runs != 1 {
		return fmt.Sprintf("the order ran %d times", a.Runs)
	}
	return ""
}

func (e *exchange) checkUpload(a *responseBody) string {
	if a.RequestID != e.id || a.Bytes != e.class.BundleBytes || a.Checksum != bundle.ChecksumOf(e.id, e.class.BundleBytes) {
		return fmt.Sprintf("got the response to request %q with %d bytes", a.RequestID, a.Bytes)
	}
	return ""
}

func (e *exchange) checkDownload(response *http.Response) (string, error) {
	h := bundle.NewHash()
	n, err := io.Copy(h, response.Body)
	if err != nil {
		return "", err
	}
	if n != e.class.BundleBytes || bundle.Checksum(h) != bundle.ChecksumOf(e.id, e.class.BundleBytes) {
		return fmt.Sprintf("got %d bytes with checksum %s", n, bundle.Checksum(h)), nil
	}
	return "", nil
}
