package targetconn

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// writeStallTime is how long the rest of a request may make no progress once a response without length has ended.
const writeStallTime = time.Second

var (
	// ErrInvalidStatus means that a status code isn't one of HTTP. What follows on the connection can't be matched to a request.
	ErrInvalidStatus = errors.New("invalid status code")
	// ErrCutOff means that a response that ends with its connection may be incomplete.
	ErrCutOff = fmt.Errorf("connection ended while the request was being sent: %w", io.ErrUnexpectedEOF)
)

// CheckStatus returns ErrInvalidStatus unless the status code is from 100 to 599. http.ReadResponse also accepts others, such as 000.
func CheckStatus(response *http.Response) error {
	if response.StatusCode < 100 || response.StatusCode > 599 {
		return fmt.Errorf("%w: %q", ErrInvalidStatus, response.Status[:min(len(response.Status), 3)])
	}
	return nil
}

// ReadResponse reads the head of a response, which may be informational. The body of a response that ends with its connection fails with
// ErrCutOff if the request couldn't be written completely.
func (c *Conn) ReadResponse(request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(c.Reader, request)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(response); err != nil {
		return nil, err
	}
	if response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		response.Body = &bodyUntilClose{ReadCloser: response.Body, conn: c}
	}
	return response, nil
}

// FinishWrite notes that the request of the exchange has been written, or the error that prevented it.
func (c *Conn) FinishWrite(err error) {
	c.requestErr = err
	close(c.requestDone)
}

// bodyUntilClose is a body that ends with its connection. The kernel reports a reset once, to whoever uses the connection first: if that
// is the writer of the request, the reader sees a regular end.
type bodyUntilClose struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *bodyUntilClose) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.requestWritten() {
		return n, ErrCutOff
	}
	return n, err
}

// requestWritten waits until the request of the exchange has been written and reports whether that succeeded. It gives up if the target
// accepts no more of the request.
func (c *Conn) requestWritten() bool {
	if c.requestDone == nil {
		return true
	}
	ticker := time.NewTicker(writeStallTime)
	defer ticker.Stop()
	for last := c.accepted.Load(); ; {
		select {
		case <-c.requestDone:
			return c.requestErr == nil
		case <-ticker.C:
			now := c.accepted.Load()
			if now == last {
				return false
			}
			last = now
		}
	}
}

// StrictTransport is an http.Transport that rejects responses with invalid status codes.
type StrictTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t StrictTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(response); err != nil {
		// Closing the body before its end closes the connection. One whose response has no body is idle already.
		_ = response.Body.Close()
		t.CloseIdleConnections()
		return nil, err
	}
	return response, nil
}
