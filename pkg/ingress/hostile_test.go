package ingress

import (
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

// pour writes a text again and again until the reader closes, and counts the bytes.
func pour(c net.Conn, text string, poured *atomic.Int64) {
	block := []byte(strings.Repeat(text, 1+(32<<10)/len(text)))
	for {
		n, err := c.Write(block)
		poured.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// socketBytes is what the sockets of both sides may hold beside what the router reads.
const socketBytes = 6 << 20

// Guards against heads without end: one header line that never ended took 183 MB in 2 s, and a VM may have 184 MB. An order that was
// sent may have run, so that its caller gets 502, at once.
func TestHeadsWithoutEndAreCutOff(t *testing.T) {
	for name, text := range map[string]struct{ first, again string }{
		"one line":      {"HTTP/1.1 200 OK\r\nT-Signed: ", "x"},
		"many fields":   {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"status line":   {"HTTP/1.1 200 ", "O"},
		"informational": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":   {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"no answer":     {"", "\x00\x01\x02"},
	} {
		t.Run(name, func(t *testing.T) {
			var poured atomic.Int64
			target := newScriptedTarget(t, func(_ int, _ *http.Request, c net.Conn) {
				_, _ = io.WriteString(c, text.first)
				pour(c, text.again, &poured)
			})
			f := newFront(t, target)
			begun := time.Now()
			got := f.send(t, "POST", "/order/1", "x", "T-Wait", "3000")
			if took := time.Since(begun); got.status != http.StatusBadGateway || took > time.Second {
				t.Errorf("status %d after %v", got.status, took)
			}
			if n := poured.Load(); n > maxAnswerHead+socketBytes {
				t.Errorf("%d bytes of a head were taken in", n)
			}
			if target.count() != 1 {
				t.Errorf("the order was sent %d times", target.count())
			}
			if text.first != "" && !strings.Contains(f.logged(), "target broke a bound") {
				t.Error("the log doesn't tell why")
			}
		})
	}
}

// Guards against memory that grows with the number of targets that send without end: their answers together stay within
// MaxHeldAnswers.
func TestEndlessBodiesHoldLittleMemory(t *testing.T) {
	const requests = 40
	var poured atomic.Int64
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\n\r\n", r.Header.Get("T-Id"))
		pour(c, "0123456789abcdef", &poured)
	})
	f := newFront(t, target)
	f.handler.sender.memory.limit = 2 << 20
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var callers sync.WaitGroup
	var complete atomic.Int32
	for range requests {
		callers.Go(func() {
			r, err := http.NewRequest("GET", f.URL+"/read/1", nil)
			if err != nil {
				t.Error(err)
				return
			}
			r.Host = "h"
			r.Header.Set("T-Id", fmt.Sprintf("id-%d", f.ids.Add(1)))
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
	if held := f.handler.sender.memory.held.Load(); held > f.handler.sender.memory.limit+requests*answerStep {
		t.Errorf("%d bytes of answers are held", held)
	}
	callers.Wait()
	if n := complete.Load(); n != 0 {
		t.Errorf("%d answers without end look complete", n)
	}
	if held := f.handler.sender.memory.held.Load(); held != 0 {
		t.Errorf("%d bytes count as held after the last answer", held)
	}
	if grown := int64(during.HeapInuse) - int64(before.HeapInuse); grown > 40<<20 {
		t.Errorf("the heap grew by %d MB", grown>>20)
	}
}

// Guards against streams that outlast the bound of an answer's size, and against ones that look complete when they are cut there.
func TestStreamsEndAtTheBound(t *testing.T) {
	var poured atomic.Int64
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\n\r\n", r.Header.Get("T-Id"))
		pour(c, "0123456789abcdef", &poured)
	})
	f := newFront(t, target)
	f.handler.sender.maxAnswer = 8 << 20
	r, err := http.NewRequest("GET", f.URL+"/read/1", nil)
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
	if err == nil || n > f.handler.sender.maxAnswer {
		t.Errorf("%d bytes arrived with error %v", n, err)
	}
}

// Guards against a second copy of an answer that is taken for the answer to the next request on the connection: copies without an ID
// and copies that bear the ID of a request that is sent again on the connection.
func TestSecondCopiesAreNotTakenForAnswers(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\n%sT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	t.Run("without an ID", func(t *testing.T) {
		target := newScriptedTarget(t, func(n int, r *http.Request, c net.Conn) {
			if n == 2 {
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nT-Signed: 1\r\nContent-Length: 5\r\n\r\nwrong")
				return
			}
			good(r, c)
		})
		f := newFront(t, target)
		f.send(t, "POST", "/order/1", "x")
		if got := f.send(t, "POST", "/order/2", "x"); got.status != http.StatusBadGateway {
			t.Errorf("%+v", got)
		}
	})
	t.Run("of a refusal, to a repeat", func(t *testing.T) {
		var mu sync.Mutex
		seen := map[net.Conn]int{}
		target := newScriptedTarget(t, func(n int, r *http.Request, c net.Conn) {
			mu.Lock()
			seen[c]++
			again := seen[c] > 1
			mu.Unlock()
			id := "T-Id: " + r.Header.Get("T-Id") + "\r\n"
			if n == 1 || again {
				// The second time the request runs, but a late copy of the refusal comes first.
				_, _ = fmt.Fprintf(c, refusal, id)
				return
			}
			good(r, c)
		})
		f := newFront(t, target)
		if got := f.send(t, "POST", "/keyed-order/1", "x", "T-Key", "7"); got.status == http.StatusServiceUnavailable {
			t.Errorf("an order that ran is told not to have run: %+v", got)
		}
	})
}

// Guards against a connection that is used again although more than its answer has arrived on it, whenever that arrives.
func TestConnectionsWithExtraBytesAreDropped(t *testing.T) {
	target := newScriptedTarget(t, func(n int, r *http.Request, c net.Conn) {
		good(r, c)
		if n == 1 {
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: 4\r\n\r\nlate", r.Header.Get("T-Id"))
		}
	})
	f := newFront(t, target)
	f.send(t, "POST", "/order/1", "x")
	time.Sleep(60 * time.Millisecond)
	if got := f.send(t, "POST", "/order/2", "x"); got.status != http.StatusOK || got.body != "ok" {
		t.Errorf("%+v", got)
	}
	if n := target.connections.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}

// Guards against an unexpected error in the handling of one request that leaves its caller without a status, its place at a target
// taken or its body counted as held.
func TestPanicIsAnswered(t *testing.T) {
	f := newFront(t, newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { good(r, c) }))
	f.handler.Placer = panickingPlacer{}
	if got := f.send(t, "POST", "/order/1", "x"); got.status != http.StatusServiceUnavailable {
		t.Errorf("%+v", got)
	}
	if held := f.handler.held.Load(); held != 0 {
		t.Errorf("%d bytes of bodies are held", held)
	}
	if !strings.Contains(f.logged(), "unexpected error") {
		t.Error("the log doesn't tell")
	}
}

// Guards against a read beyond the allowance.
func TestAllowanceBoundsReads(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	c := targetconn.New(near)
	c.AllowReading(10)
	go pour(far, "x", new(atomic.Int64))
	n, err := io.Copy(io.Discard, c)
	if n != 10 || err == nil {
		t.Errorf("%d bytes, error %v", n, err)
	}
}
