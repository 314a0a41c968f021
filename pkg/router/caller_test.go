package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

// Guards against request smuggling: if a response precedes the end of the request body, the rest of the body must not be
// executed as the next request, and a concurrent reader of the body must not make net/http panic.
func TestEarlyResponseClosesConnection(t *testing.T) {
	var requests atomic.Int64
	chain := func(_ context.Context, x *filter.Exchange) (*exchange.Response, error) {
		requests.Add(1)
		go func() { _, _ = io.Copy(io.Discard, x.Request.Body) }()
		return nil, problem.New(http.StatusServiceUnavailable, problem.CodeOverload, problem.NotRun, "full")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: newCallerHandler(chain, event.Discard(), &atomic.Bool{}, tally.NoopScope)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })

	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	const length = 1 << 20
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /photos HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\nfirst part", length); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if !response.Close {
		t.Error("the response leaves the connection open")
	}
	// The server may have closed the connection already.
	_, _ = io.WriteString(conn, strings.Repeat(smuggled, 100))
	rest, _ := io.ReadAll(reader)
	if len(rest) > 0 || requests.Load() != 1 {
		t.Errorf("%d requests were executed; after the response came %q", requests.Load(), rest)
	}
}
