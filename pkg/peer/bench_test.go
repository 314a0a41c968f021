package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/wire"
)

// BenchmarkExchange measures sequential small exchanges. The tcp case is the baseline: a 300-byte echo over plain TCP.
func BenchmarkExchange(b *testing.B) {
	b.Run("tcp", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		go func() {
			c, err := l.Accept()
			if err == nil {
				_, _ = io.Copy(c, onlyReader{c})
			}
		}()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		buf := make([]byte, 300)
		for b.Loop() {
			_, _ = c.Write(buf)
			if _, err := io.ReadFull(c, buf); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("exchange", func(b *testing.B) {
		s := newServer(echo)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = s.Serve(l) }()
		c := NewClient("client")
		defer c.Close()
		h := c.Handler(l.Addr().String())
		for b.Loop() {
			response, err := h.Handle(context.Background(), &wire.Request{ID: "a", ContentLength: 5}, bytes.NewReader([]byte("hello")))
			if err != nil {
				b.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				b.Fatal(err)
			}
			_ = response.Body.Close()
		}
	})
}

// onlyReader hides all methods but Read, so that io.Copy can't use splice.
type onlyReader struct {
	io.Reader
}
