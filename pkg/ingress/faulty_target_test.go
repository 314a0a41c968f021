package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/targetconn"
)

// writeRepeatedly writes a text over and over until the connection is closed, and counts the bytes written.
func writeRepeatedly(c net.Conn, text string, written *atomic.Int64) {
	block := []byte(strings.Repeat(text, 1+(32<<10)/len(text)))
	for {
		n, err := c.Write(block)
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// socketBytes is what the socket buffers of both sides may hold in addition to what the router reads.
const socketBytes = 6 << 20

// TestEndlessResponseHeadsAreRejected checks that a response head without end is cut off. A single endless header line took 183
// MB in 2 s, and a VM may have 184 MB. An order that was sent may have been executed, so its caller gets a 502, at once.
func TestEndlessResponseHeadsAreRejected(t *testing.T) {
	for name, text := range map[string]struct{ first, again string }{
		"one line":      {"HTTP/1.1 200 OK\r\nT-Signed: ", "x"},
		"many fields":   {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"status line":   {"HTTP/1.1 200 ", "O"},
		"informational": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":   {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"not HTTP":      {"", "\x00\x01\x02"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			target := newScriptedTarget(t, func(_ int, _ *http.Request, c net.Conn) {
				_, _ = io.WriteString(c, text.first)
				writeRepeatedly(c, text.again, &written)
			})
			s := newTestServer(t, target)
			start := time.Now()
			resp := s.send(t, "POST", "/order/1", "x", "T-Wait", "3000")
			if elapsed := time.Since(start); resp.status != http.StatusBadGateway || elapsed > time.Second {
				t.Errorf("status %d after %v", resp.status, elapsed)
			}
			if n := written.Load(); n > maxHeaderBytes+socketBytes {
				t.Errorf("target could send %d bytes of a response head", n)
			}
			if target.count() != 1 {
				t.Errorf("request was sent %d times, want 1", target.count())
			}
			if text.first != "" && !strings.Contains(s.logged(), "target broke a bound") {
				t.Error("exceeded limit is not logged")
			}
		})
	}
}

// TestEndlessBodiesStayWithinMemoryLimit checks that the buffered responses of all targets together stay within
// MaxBufferedResponseBytes, so that memory use doesn't grow with the number of targets that send endless bodies.
func TestEndlessBodiesStayWithinMemoryLimit(t *testing.T) {
	const requests = 40
	var written atomic.Int64
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\n\r\n", r.Header.Get("T-Id"))
		writeRepeatedly(c, "0123456789abcdef", &written)
	})
	s := newTestServer(t, target)
	s.handler.sender.memory.limit = 2 << 20
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var callers sync.WaitGroup
	var complete atomic.Int32
	for range requests {
		callers.Go(func() {
			r, err := http.NewRequest("GET", s.URL+"/read/1", nil)
			if err != nil {
				t.Error(err)
				return
			}
			r.Host = "h"
			r.Header.Set("T-Id", fmt.Sprintf("id-%d", s.ids.Add(1)))
			r.Header.Set("T-Wait", "1500")
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				return
			}
			defer func() { _ = response.Body.Close() }()
			if _, err := io.Copy(io.Discard, response.Body); err == nil && response.StatusCode == http.StatusOK {
				complete.Add(1)
			}
		})
	}
	time.Sleep(time.Second)
	runtime.ReadMemStats(&during)
	if held := s.handler.sender.memory.held.Load(); held > s.handler.sender.memory.limit+requests*bufferStep {
		t.Errorf("%d bytes of responses are buffered", held)
	}
	callers.Wait()
	if n := complete.Load(); n != 0 {
		t.Errorf("%d endless responses look complete", n)
	}
	if held := s.handler.sender.memory.held.Load(); held != 0 {
		t.Errorf("%d bytes are counted as buffered after the last response", held)
	}
	if grown := int64(during.HeapInuse) - int64(before.HeapInuse); grown > 40<<20 {
		t.Errorf("heap grew by %d MB", grown>>20)
	}
}

// TestStreamedBodiesEndAtSizeLimit checks that a streamed response ends at the size limit and doesn't look complete when it is
// cut off there.
func TestStreamedBodiesEndAtSizeLimit(t *testing.T) {
	var written atomic.Int64
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\n\r\n", r.Header.Get("T-Id"))
		writeRepeatedly(c, "0123456789abcdef", &written)
	})
	s := newTestServer(t, target)
	s.handler.sender.maxResponseBytes = 8 << 20
	r, err := http.NewRequest("GET", s.URL+"/read/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("T-Id", "one")
	r.Header.Set("T-Wait", "20000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	if err == nil || n > s.handler.sender.maxResponseBytes {
		t.Errorf("got %d bytes and error %v", n, err)
	}
}

// TestDuplicateResponsesAreNotMatched checks that a duplicate response is not taken for the response to the next request on the
// connection. This concerns duplicates without an ID, and duplicates with the ID of a request that is retried on the same
// connection.
func TestDuplicateResponsesAreNotMatched(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\n%sT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	t.Run("without an ID", func(t *testing.T) {
		target := newScriptedTarget(t, func(n int, r *http.Request, c net.Conn) {
			if n == 2 {
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nT-Signed: 1\r\nContent-Length: 5\r\n\r\nwrong")
				return
			}
			respondOK(r, c)
		})
		s := newTestServer(t, target)
		s.send(t, "POST", "/order/1", "x")
		if resp := s.send(t, "POST", "/order/2", "x"); resp.status != http.StatusBadGateway {
			t.Errorf("%+v", resp)
		}
	})
	t.Run("refusal before a retry", func(t *testing.T) {
		var mu sync.Mutex
		seen := map[net.Conn]int{}
		target := newScriptedTarget(t, func(n int, r *http.Request, c net.Conn) {
			mu.Lock()
			seen[c]++
			again := seen[c] > 1
			mu.Unlock()
			id := "T-Id: " + r.Header.Get("T-Id") + "\r\n"
			if n == 1 || again {
				// The request is executed the second time, but a late duplicate of the refusal arrives first.
				_, _ = fmt.Fprintf(c, refusal, id)
				return
			}
			respondOK(r, c)
		})
		s := newTestServer(t, target)
		if resp := s.send(t, "POST", "/keyed-order/1", "x", "T-Key", "7"); resp.status == http.StatusServiceUnavailable {
			t.Errorf("error response to an executed request claims that it was not executed: %+v", resp)
		}
	})
}

// TestConnectionsWithExtraBytesAreNotReused checks that a connection isn't reused if the target has sent more than the response
// on it, even if the extra bytes arrive later.
func TestConnectionsWithExtraBytesAreNotReused(t *testing.T) {
	target := newScriptedTarget(t, func(n int, r *http.Request, c net.Conn) {
		respondOK(r, c)
		if n == 1 {
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: 4\r\n\r\nlate", r.Header.Get("T-Id"))
		}
	})
	s := newTestServer(t, target)
	s.send(t, "POST", "/order/1", "x")
	time.Sleep(60 * time.Millisecond)
	if resp := s.send(t, "POST", "/order/2", "x"); resp.status != http.StatusOK || resp.body != "ok" {
		t.Errorf("%+v", resp)
	}
	if n := target.connections.Load(); n != 2 {
		t.Errorf("target got %d connections, want 2", n)
	}
}

// TestPanicGetsErrorResponse checks that a panic in the handling of a request doesn't leave the caller without a status, its
// place at a target reserved or its body counted as buffered.
func TestPanicGetsErrorResponse(t *testing.T) {
	s := newTestServer(t, newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { respondOK(r, c) }))
	s.handler.Placer = panickingPlacer{}
	if resp := s.send(t, "POST", "/order/1", "x"); resp.status != http.StatusServiceUnavailable {
		t.Errorf("%+v", resp)
	}
	if held := s.handler.heldBodyBytes.Load(); held != 0 {
		t.Errorf("%d bytes of request bodies are counted as buffered", held)
	}
	if !strings.Contains(s.logged(), "unexpected error") {
		t.Error("panic is not logged")
	}
}

// TestReadsBeyondLimitFail checks that no more bytes are read from a target than LimitReads permits.
func TestReadsBeyondLimitFail(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	c := targetconn.New(near)
	c.LimitReads(10)
	go writeRepeatedly(far, "x", new(atomic.Int64))
	n, err := io.Copy(io.Discard, c)
	if n != 10 || err == nil {
		t.Errorf("got %d bytes and error %v, want 10 bytes and an error", n, err)
	}
}

// TestRepeatedRefusalIsNotMatched checks that a second copy of an earlier refusal on a kept connection doesn't tell the caller of the
// next request that it hasn't run, and doesn't make the router send that request to a second target.
func TestRepeatedRefusalIsNotMatched(t *testing.T) {
	for _, tc := range []struct {
		name string
		// copies is the number of copies of the refusal, withID whether they bear the ID of the refused request, answers whether the
		// target answers the next request after them.
		copies          int
		withID, answers bool
		want            int
	}{
		{"one copy, then the answer", 1, true, true, http.StatusOK},
		{"two copies, then the answer", 2, true, true, http.StatusOK},
		{"one copy while the request runs", 1, true, false, http.StatusBadGateway},
		{"many copies while the request runs", 9, true, false, http.StatusBadGateway},
		{"one copy without an ID", 1, false, true, http.StatusBadGateway},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var refusal string
			target := newScriptedTarget(t, func(n int, r *http.Request, c net.Conn) {
				if n == 1 {
					id := "T-Id: " + r.Header.Get("T-Id") + "\r\n"
					refusal = "HTTP/1.1 503 Busy\r\n%sT-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy"
					_, _ = fmt.Fprintf(c, refusal, id)
					if tc.withID {
						refusal = fmt.Sprintf(refusal, id)
					} else {
						refusal = fmt.Sprintf(refusal, "")
					}
					return
				}
				_, _ = io.WriteString(c, strings.Repeat(refusal, tc.copies))
				if tc.answers {
					respondOK(r, c)
					return
				}
				time.Sleep(50 * time.Millisecond)
				_ = c.Close()
			})
			s := newTestServer(t, target)
			if resp := s.send(t, "POST", "/order/1", "x"); resp.status != http.StatusServiceUnavailable {
				t.Fatalf("first request: %+v", resp)
			}
			if resp := s.send(t, "POST", "/order/2", "x"); resp.status != tc.want {
				t.Errorf("%+v, want status %d", resp, tc.want)
			}
			if n, connections := target.count(), target.connections.Load(); n != 2 || connections != 1 {
				t.Errorf("target got %d requests on %d connections, want 2 on one", n, connections)
			}
		})
	}
}

// TestTruncatedHeadIsNoResponse checks that a target that stops in the middle of its response and closes doesn't give the caller a 200
// with an empty or short body that looks complete, wherever it stops.
func TestTruncatedHeadIsNoResponse(t *testing.T) {
	for _, framing := range []string{"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\nContent-Length: 2\r\n"} {
		complete := "HTTP/1.1 200 OK\r\nT-Id: id-1\r\nT-Signed: 1\r\n" + framing + "\r\n"
		for cut := range len(complete) + 1 {
			target := newScriptedTarget(t, func(_ int, _ *http.Request, c net.Conn) {
				_, _ = io.WriteString(c, complete[:cut])
				_ = c.Close()
			})
			s := newTestServer(t, target)
			if resp := s.send(t, "POST", "/order/1", "x"); resp.status != http.StatusBadGateway {
				t.Errorf("response cut after %q: %+v", complete[:cut], resp)
			}
			s.Close()
		}
	}
}

// TestInvalidStatusEndsExchange guards against a body that is taken for a response because the status before it was taken for an
// informational one. A crafted body with the request's ID and a signature reached callers as 200.
func TestInvalidStatusEndsExchange(t *testing.T) {
	for _, code := range []string{"000", "099", "+12", "600", "999"} {
		crafting := func(_ int, r *http.Request, c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: 0\r\n\r\n", code, r.Header.Get("T-Id"))
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: 7\r\n\r\ncrafted", r.Header.Get("T-Id"))
		}
		bad := newScriptedTarget(t, crafting)
		s := newTestServer(t, bad)
		for i := range 2 {
			if resp := s.send(t, "POST", "/order/1", "x"); resp.status != http.StatusBadGateway {
				t.Errorf("status %s: %+v", code, resp)
			}
			if n, connections := bad.count(), bad.connections.Load(); n != i+1 || int(connections) != i+1 {
				t.Errorf("status %s: %d requests on %d connections, want %d", code, n, connections, i+1)
			}
		}
		good := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { respondOK(r, c) })
		s = newTestServer(t, newScriptedTarget(t, crafting), good)
		for range 3 {
			if resp := s.send(t, "GET", "/read/1", ""); resp.status != http.StatusOK || resp.body != "ok" {
				t.Errorf("status %s, another target: %+v", code, resp)
			}
		}
	}
}

// TestResetWhileUploadingIsNoCompleteResponse guards against a response without length that is passed on as complete although the target
// has reset the connection while the request was still being written. Of 104 such responses, 3 reached the caller as complete.
func TestResetWhileUploadingIsNoCompleteResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\n\r\npart of the body", r.Header.Get("T-Id"))
					// The response must have been read before the reset, which would discard it.
					time.Sleep(2 * time.Millisecond)
				}
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	s := newTestServer(t)
	// More than the socket buffers hold, so that the writer is still busy when the connection is reset.
	body := []byte(strings.Repeat("x", 32<<20))
	var complete atomic.Int32
	var senders sync.WaitGroup
	for range 4 {
		senders.Go(func() {
			for range 50 {
				id := fmt.Sprintf("id-%d", s.ids.Add(1))
				r := s.handler.sender.exchange(t.Context(), "t0", l.Addr().String(), &upstreamRequest{
					method: "POST", uri: "/order/1", host: "h", header: http.Header{"T-Id": {id}}, id: id,
					body: &requestBody{buffered: body, length: int64(len(body))},
				}, time.Now().Add(5*time.Second))
				if r.outcome == answered {
					complete.Add(1)
				}
				s.handler.sender.discard(r.response)
			}
		})
	}
	senders.Wait()
	if n := complete.Load(); n != 0 {
		t.Errorf("%d of 200 responses that were cut off look complete", n)
	}
}
