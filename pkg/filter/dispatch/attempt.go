package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// destination is the group to which an attempt is sent, with the data that its gateway checks.
type destination struct {
	cell         string
	tableVersion topology.Version
	group        *topology.Group
	// region is the region of the group.
	region string
	// keyHash and sliceEpoch are set for keyed pools.
	keyHash    uint64
	sliceEpoch topology.Epoch
	cause      Cause
}

// attempt sends the request to destination p once. Errors are of type *problem.Error.
func (f *Filter) attempt(ctx context.Context, x *filter.Exchange, p destination) (*exchange.Response, error) {
	if ctx.Err() != nil {
		return nil, contextProblem(ctx)
	}
	request := f.wireRequest(x, p)
	body := x.Body.Reader()
	crosses := p.region != f.options.Region
	if crosses {
		if err := f.link.Admit(x.View.Config.LinkBytesPerSecond); err != nil {
			return nil, err
		}
		if !x.Body.IsBuffered() {
			body = f.link.reader(ctx, p.cause, body)
		} else {
			f.link.consume(p.cause, int(x.Body.Length()))
		}
	}
	f.m.attempts.Inc(1)
	load := f.loads.get(p.group.ID)
	load.inFlight.Add(1)
	response, err := f.handler(x, p).Handle(ctx, request, body)
	load.inFlight.Add(-1)
	if err != nil {
		load.recordRefusal(err)
		return nil, asProblem(x, err)
	}
	load.recordReport(&response.Head)
	if err := checkResponse(request, response); err != nil {
		load.recordRefusal(err)
		_ = response.Body.Close()
		return nil, err
	}
	if crosses {
		response.Body = linkBody{Reader: f.link.reader(ctx, p.cause, response.Body), Closer: response.Body}
	}
	return response, nil
}

func (f *Filter) handler(x *filter.Exchange, p destination) exchange.Handler {
	if p.group.Gateway == x.View.VM {
		return f.options.Local
	}
	return f.options.Remote(p.group.GatewayAddress)
}

// checkResponse rejects a response to another attempt and converts a refusal into an error.
func checkResponse(request *wire.Request, response *exchange.Response) error {
	head := &response.Head
	if head.ID != "" && head.ID != request.ID {
		return problem.New(http.StatusBadGateway, problem.CodeGatewayLost, problem.Unknown, "the answer belongs to another request")
	}
	if head.Code == "" {
		return nil
	}
	e := problem.New(head.Status, problem.Code(head.Code), problem.Outcome(head.Outcome), head.Detail)
	return e.After(time.Duration(head.RetryAfterMillis) * time.Millisecond)
}

// asProblem converts err to a *problem.Error. If reading the caller's body failed, it returns that error instead, whatever
// the gateway reported.
func asProblem(x *filter.Exchange, err error) *problem.Error {
	var p *problem.Error
	if !errors.As(err, &p) {
		p = problem.New(http.StatusBadGateway, problem.CodeGatewayLost, problem.Unknown, err.Error())
	}
	if own := x.Body.Problem(p.Outcome); own != nil {
		return own
	}
	return p
}

func contextProblem(ctx context.Context) *problem.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return problem.New(http.StatusGatewayTimeout, problem.CodeDeadline, problem.NotRun, "the deadline passed before the request was sent")
	}
	return problem.New(http.StatusBadRequest, problem.CodeBadRequest, problem.NotRun, "the caller has gone")
}

func (f *Filter) wireRequest(x *filter.Exchange, p destination) *wire.Request {
	return &wire.Request{
		ID:             fmt.Sprintf("%s.%d", x.ID, f.sequence.Add(1)),
		Route:          x.Route.Name,
		Pool:           x.Pool.Name,
		Group:          p.group.ID,
		Class:          x.Route.Class,
		Weight:         x.Route.Weight,
		Tenant:         x.Tenant,
		Method:         x.Request.Method,
		Path:           x.Request.URL.RequestURI(),
		Headers:        forwarded(x),
		ContentLength:  x.Body.Length(),
		Idempotent:     x.Route.Idempotent,
		Keyed:          x.Pool.Keyed,
		KeyHash:        p.keyHash,
		SliceEpoch:     p.sliceEpoch,
		GroupEpoch:     p.group.Epoch,
		IdempotencyKey: x.IdempotencyKey,
		Fingerprint:    x.Fingerprint,
		HomeRegions:    x.HomeRegions,
	}
}

// hopByHop is the set of header fields that apply to a single connection (RFC 9110, section 7.6.1) or are transmitted by
// other means.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// reservedPrefix is the prefix of the headers used between routers and targets, which callers can't set.
const reservedPrefix = "Bronzelever-"

// forwarded returns the header fields to send to the target.
func forwarded(x *filter.Exchange) []wire.Header {
	h := x.Request.Header
	dropped := connectionFields(h)
	out := make([]wire.Header, 0, len(h)+1)
	for name, values := range h {
		if hopByHop[name] || dropped[name] || name == filter.HeaderRequestID {
			continue
		}
		if strings.HasPrefix(name, reservedPrefix) && name != filter.HeaderTenant {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return append(out, wire.Header{Name: filter.HeaderRequestID, Value: x.ID})
}

// connectionFields returns the names of the fields listed in the Connection header.
func connectionFields(h http.Header) map[string]bool {
	values := h.Values("Connection")
	if len(values) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// jitter returns a random duration between 0.5 and 1.5 times d, so that refused callers don't all retry at the same time.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}

// withRetryAfter adds a retry delay to temporary refusals that have none.
func withRetryAfter(err error) error {
	var p *problem.Error
	if !errors.As(err, &p) || p.RetryAfter > 0 || p.Status != http.StatusServiceUnavailable || p.Outcome != problem.NotRun {
		return err
	}
	c := *p
	return c.After(jitter(defaultRetryAfter))
}

// cancelOnClose returns a body that cancels its attempt's context when it is closed.
func cancelOnClose(body io.ReadCloser, cancel context.CancelFunc) io.ReadCloser {
	return filter.OnClose(body, cancel)
}
