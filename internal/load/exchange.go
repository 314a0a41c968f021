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

// maxAnswerBytes bounds answers other than bundles.
const maxAnswerBytes = 1 << 20

const headerNotRun = "Bronzelever-Not-Run"

type doer interface {
	Do(*http.Request) (*http.Response, error)
}

// exchange is one request with what its answer has to look like.
type exchange struct {
	class *Class
	// id is the request ID; for orders it is also the idempotency key, for bundles the name.
	id     string
	key    string
	url    int
	repeat bool
	// atOnce sends the repeat without waiting for the first answer.
	atOnce bool
}

// send tries the URLs until one accepts a connection. For orders it returns the body of a right answer.
func (e *exchange) send(ctx context.Context, client doer, b *balancer) (result, string) {
	for _, n := range b.order(e.url) {
		request, err := e.request(ctx, b.urls[n])
		if err != nil {
			return result{outcome: unreachable, status: "bad URL"}, ""
		}
		response, err := client.Do(request)
		if err == nil {
			defer response.Body.Close()
			return e.judge(response)
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

// judge reads the answer and checks it.
func (e *exchange) judge(response *http.Response) (result, string) {
	if response.StatusCode/100 != 2 {
		return judgeRefusal(response), ""
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

func judgeRefusal(response *http.Response) result {
	status := strconv.Itoa(response.StatusCode)
	var document struct {
		Code string `json:"code"`
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil && json.Unmarshal(body, &document) == nil && document.Code != "" {
		status += " " + document.Code
	}
	switch {
	case response.Header.Get(problem.HeaderOutcome) == string(problem.NotRun), response.Header.Get(headerNotRun) == "1":
		return result{outcome: refusedNotRun, status: status}
	case response.Header.Get(problem.HeaderOutcome) == string(problem.Ran):
		return result{outcome: failed, status: status}
	}
	return result{outcome: unknown, status: status}
}

// check returns what is wrong with a complete answer, or an error if the answer is visibly incomplete.
func (e *exchange) check(response *http.Response) (detail, body string, err error) {
	if e.class.Kind == Download {
		detail, err = e.checkDownload(response)
		return detail, "", err
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return "", "", err
	}
	var answer answerBody
	if err := json.Unmarshal(raw, &answer); err != nil {
		return "the answer is no JSON: " + err.Error(), "", nil
	}
	switch e.class.Kind {
	case Order:
		return e.checkOrder(&answer), string(raw), nil
	case Upload:
		return e.checkUpload(&answer), "", nil
	default:
		return e.checkRead(&answer), "", nil
	}
}

// answerBody is the union of the answers of the services; see package target.
type answerBody struct {
	Key          string `json:"key"`
	RequestID    string `json:"request_id"`
	Order        string `json:"order"`
	Runs         int    `json:"runs"`
	BodyChecksum string `json:"body_checksum"`
	Bytes        int64  `json:"bytes"`
	Checksum     string `json:"checksum"`
}

func (e *exchange) checkRead(a *answerBody) string {
	if a.Key != e.key || a.RequestID != e.id {
		return fmt.Sprintf("asked for %q, got the answer to request %q for %q", e.key, a.RequestID, a.Key)
	}
	return ""
}

func (e *exchange) checkOrder(a *answerBody) string {
	h := bundle.NewHash()
	_, _ = h.Write(e.orderBody())
	if a.Order != e.id || a.RequestID != e.id || a.BodyChecksum != bundle.Checksum(h) {
		return fmt.Sprintf("got the answer to request %q, order %q", a.RequestID, a.Order)
	}
	if a.Runs != 1 {
		return fmt.Sprintf("the order ran %d times", a.Runs)
	}
	return ""
}

func (e *exchange) checkUpload(a *answerBody) string {
	if a.RequestID != e.id || a.Bytes != e.class.BundleBytes || a.Checksum != bundle.ChecksumOf(e.id, e.class.BundleBytes) {
		return fmt.Sprintf("got the answer to request %q with %d bytes", a.RequestID, a.Bytes)
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
