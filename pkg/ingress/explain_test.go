package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/logstory"
)

// logBuffer collects log output.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) reader() io.Reader {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.NewReader(l.text.String())
}

// TestLogsExplainFailedRequests checks that the logs explain each failed request: they must contain the line that decided its
// outcome. Twenty requests, each on a VM of its own, fail in ten ways.
func TestLogsExplainFailedRequests(t *testing.T) {
	busy := func(_ int, r *http.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nT-Id: %s\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("T-Id"))
	}
	otherID := func(_ int, _ *http.Request, c net.Conn) {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nT-Id: other\r\nT-Signed: 1\r\nContent-Length: 2\r\n\r\nno")
		_ = c.Close()
	}
	reset := func(_ int, _ *http.Request, c net.Conn) { _ = c.Close() }
	silent := func(_ int, _ *http.Request, c net.Conn) { _, _ = c.Read(make([]byte, 1)) }
	succeed := func(_ int, r *http.Request, c net.Conn) { respondOK(r, c) }
	type decision struct {
		request      string
		event        int
		field, value string
	}
	var expected []decision
	var logs []*logBuffer
	for _, c := range []struct {
		name, method, path, key string
		respond                 func(int, *http.Request, net.Conn)
		event                   int
		field, value            string
	}{
		{"POST whose connection was closed", "POST", "/order/a", "", reset, 843, "outcome", "unknown"},
		{"GET whose connections were closed", "GET", "/read/a", "", reset, 843, "outcome", "unknown"},
		{"POST refused by all targets", "POST", "/order/a", "", busy, 843, "outcome", "not-run"},
		{"GET refused by all targets", "GET", "/read/a", "", busy, 843, "outcome", "not-run"},
		{"response to another request", "POST", "/order/a", "", otherID, 843, "outcome", "unknown"},
		{"slow target", "GET", "/short/a", "", silent, 843, "outcome", "expired"},
		{"no route", "GET", "/nowhere/a", "", succeed, 841, "reason", "no-route"},
		{"key without an owner", "GET", "/key/a", "200", succeed, 841, "reason", "key-pending"},
		{"no key", "GET", "/key/a", "", succeed, 841, "reason", "key-missing"},
		{"no target in the home region", "GET", "/home/a", "", succeed, 841, "reason", "no-target"},
	} {
		for n := range 2 {
			s := newTestServer(t, newScriptedTarget(t, c.respond))
			logs = append(logs, &s.log)
			id := fmt.Sprintf("%s-%s-%d", strings.ReplaceAll(c.name, " ", "-"), c.method, n)
			header := []string{"T-Id", id, "T-Wait", "900"}
			if c.key != "" {
				header = append(header, "T-Key", c.key)
			}
			if got := s.send(t, c.method, c.path, "", header...); got.status < 400 {
				t.Errorf("%s: status %d", c.name, got.status)
			}
			expected = append(expected, decision{id, c.event, c.field, c.value})
		}
	}
	for _, want := range expected {
		var story logstory.Story
		for i, l := range logs {
			if err := story.Read(fmt.Sprintf("vm-%d.log", i), l.reader(), want.request); err != nil {
				t.Fatal(err)
			}
		}
		d, ok := story.Deciding()
		if !ok || d.Event != want.event || d.Get(want.field) != want.value {
			t.Errorf("%s: the deciding log line is %+v", want.request, d)
		}
	}
}
