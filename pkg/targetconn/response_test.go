package targetconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// endedConn is a connection from which a text can be read and that ends then.
type endedConn struct {
	net.Conn
	text *strings.Reader
}

func (c *endedConn) Read(p []byte) (int, error) { return c.text.Read(p) }
func (c *endedConn) Close() error               { return nil }

// TestBodyUntilCloseNeedsWrittenRequest guards against a response without length that looks complete although its connection was reset. The
// kernel reports the reset once: if the writer of the request gets it, the reader sees a regular end.
func TestBodyUntilCloseNeedsWrittenRequest(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, tc := range []struct {
		name, text string
		write      func(c *Conn)
		complete   bool
	}{
		{"written before", head + "\r\nbody", func(c *Conn) { c.FinishWrite(nil) }, true},
		{"written later", head + "\r\nbody", func(c *Conn) { time.AfterFunc(20*time.Millisecond, func() { c.FinishWrite(nil) }) }, true},
		{"failed before", head + "\r\nbody", func(c *Conn) { c.FinishWrite(syscall.ECONNRESET) }, false},
		{"fails later", head + "\r\nbody", func(c *Conn) { time.AfterFunc(20*time.Millisecond, func() { c.FinishWrite(syscall.EPIPE) }) }, false},
		{"makes no progress", head + "\r\nbody", func(*Conn) {}, false},
		{"failed, but the length is known", head + "Content-Length: 4\r\n\r\nbody", func(c *Conn) { c.FinishWrite(syscall.EPIPE) }, true},
		{"failed, but the body is chunked", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", func(c *Conn) { c.FinishWrite(syscall.EPIPE) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(&endedConn{text: strings.NewReader(tc.text)})
			c.Begin(nil)
			tc.write(c)
			response, err := c.ReadResponse(&http.Request{Method: "POST"})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if string(body) != "body" || (err == nil) != tc.complete || err != nil && !errors.Is(err, ErrCutOff) {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// TestInvalidStatusCodes guards against codes that http.ReadResponse accepts and that aren't status codes of HTTP.
func TestInvalidStatusCodes(t *testing.T) {
	for code, valid := range map[string]bool{"100": true, "200": true, "599": true, "000": false, "099": false, "+12": false, "600": false, "999": false} {
		c := New(&endedConn{text: strings.NewReader("HTTP/1.1 " + code + " X\r\nContent-Length: 0\r\n\r\n")})
		if _, err := c.ReadResponse(nil); valid != (err == nil) || err != nil && !errors.Is(err, ErrInvalidStatus) {
			t.Errorf("status %s: %v", code, err)
		}
	}
}
