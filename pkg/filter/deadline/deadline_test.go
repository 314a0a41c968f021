package deadline

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/filter/filtertest"
)

// Guards against a context deadline that exceeds the shortest of the route's deadline, the pool's maximum deadline and the
// timeout requested by the caller.
func TestShortestDeadlineApplies(t *testing.T) {
	for header, want := range map[string]time.Duration{"": time.Second, "200": 200 * time.Millisecond, "5000": time.Second} {
		x := filtertest.Route(filtertest.NewExchange(t, "POST", "/orders", nil), "orders")
		if header != "" {
			x.Request.Header.Set(filter.HeaderTimeout, header)
		}
		before := time.Now()
		recorder := filtertest.MustPass(t, New(), x)
		got, ok := recorder.Context.Deadline()
		if !ok || got.Before(before.Add(want)) || got.After(time.Now().Add(want)) {
			t.Errorf("%q: deadline after %v", header, got.Sub(before))
		}
	}
	x := filtertest.Route(filtertest.NewExchange(t, "POST", "/orders/south", nil), "bound")
	recorder := filtertest.MustPass(t, New(), x)
	if got, _ := recorder.Context.Deadline(); time.Until(got) > 2*time.Second {
		t.Error("the pool's maximum deadline was not applied")
	}
}

// Guards against ignoring a malformed timeout header instead of rejecting the request.
func TestMalformedTimeoutIsRejected(t *testing.T) {
	for _, values := range [][]string{{"0"}, {"-1"}, {"1.5"}, {"x"}, {"99999999999"}, {"1", "2"}} {
		x := filtertest.Route(filtertest.NewExchange(t, "POST", "/orders", nil), "orders")
		x.Request.Header[filter.HeaderTimeout] = values
		if p := filtertest.MustRefuse(t, New(), x); p.Status != http.StatusBadRequest {
			t.Errorf("%v: %v", values, p)
		}
	}
}

// Guards against canceling the context before the response body has been read, and against never canceling it.
func TestContextEndsWithBody(t *testing.T) {
	x := filtertest.Route(filtertest.NewExchange(t, "POST", "/orders", nil), "orders")
	recorder := &filtertest.Recorder{}
	response, err := New().Handle(context.Background(), x, recorder.Next)
	if err != nil {
		t.Fatal(err)
	}
	if recorder.Context.Err() != nil {
		t.Error("the context was canceled before the response body was closed")
	}
	_ = response.Body.Close()
	if recorder.Context.Err() == nil {
		t.Error("the context was not canceled when the response body was closed")
	}
}

// Guards against reads of a stalled upload that continue after the deadline.
func TestInterruptAtDeadline(t *testing.T) {
	x := filtertest.Route(filtertest.NewExchange(t, "POST", "/orders", nil), "orders")
	x.Request.Header.Set(filter.HeaderTimeout, "1")
	interrupted := make(chan struct{})
	x.Interrupt = func() { close(interrupted) }
	filtertest.MustPass(t, New(), x)
	<-interrupted
}
