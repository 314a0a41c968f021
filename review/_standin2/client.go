package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is a connection of a client to a machine.
type client struct {
	net.Conn
	reader *bufio.Reader
	world  *world
	to     *machine
}

// connect opens a connection to a machine. Clients allow one second for it.
func (w *world) connect(m *machine) (*client, error) {
	c, err := net.DialTimeout("tcp", w.front(m), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, reader: bufio.NewReader(c), world: w, to: m}, nil
}

// head returns a request head.
func head(method, path, id string, deadline time.Duration, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n%s\r\n", method, path, hostName, id,
		deadline.Milliseconds(), strings.Join(append(fields, ""), "\r\n"))
}

// answer is what a client has received for a request.
type answer struct {
	status int
	signed bool
	body   string
	header http.Header
	err    error
	at     time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + strings.ReplaceAll(a.err.Error(), "\n", " ")
	}
	return fmt.Sprintf("%d, signed %v, %q", a.status, a.signed, a.body)
}

// send writes a request.
func (c *client) send(text, id string) error {
	c.world.note("client sends %s to %s", id, c.to.name)
	_, err := io.WriteString(c, text)
	return err
}

// receive reads one answer.
func (c *client) receive(id, method string, within time.Duration) answer {
	_ = c.SetReadDeadline(time.Now().Add(within))
	var a answer
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	for err == nil && response.StatusCode == http.StatusContinue {
		c.world.note("client gets 100 for %s", id)
		response, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		a = answer{status: response.StatusCode, signed: response.Header.Get("Server-Signature") != "", body: string(body), header: response.Header}
	}
	a.err, a.at = err, time.Now()
	c.world.note("client: %s: %v", id, a)
	return a
}

// once sends a request without a body on a new connection and returns its answer.
func (w *world) once(m *machine, method, path, id string, deadline time.Duration) answer {
	c, err := w.connect(m)
	if err != nil {
		w.note("client: %s: no connection to %s", id, m.name)
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	if err := c.send(head(method, path, id, deadline), id); err != nil {
		return answer{err: err}
	}
	return c.receive(id, method, deadline+500*time.Millisecond)
}
