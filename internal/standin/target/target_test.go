package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/internal/standin/bundle"
)

func startTarget(t *testing.T, s Settings) (*Target, string) {
	t.Helper()
	target := New(s, 64, func() {})
	server := httptest.NewServer(target.Handler())
	t.Cleanup(server.Close)
	return target, server.URL
}

func send(ctx context.Context, method, url, body string, headers ...string) (*http.Response, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response, string(answer), err
}

func mustSend(t *testing.T, method, url, body string, headers ...string) (int, string, http.Header) {
	t.Helper()
	response, answer, err := send(context.Background(), method, url, body, headers...)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, answer, response.Header
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func grantJSON(group, slice uint64, ttl time.Duration) string {
	return fmt.Sprintf(`{"group_epoch":"%d","ttl_ms":%d,"slices":[{"low":"0","high":"%d","epoch":"%d"}]}`,
		group, ttl.Milliseconds(), uint64(math.MaxUint64), slice)
}

// Guards against a target that executes more than its slots, or whose refusal doesn't say that nothing ran.
func TestSlotsAndShedding(t *testing.T) {
	s := Defaults()
	s.ServiceMillis = 100
	target, url := startTarget(t, s)
	var wg sync.WaitGroup
	results := make(chan string, 10)
	for range 10 {
		wg.Go(func() {
			response, _, err := send(context.Background(), "GET", url+"/status/a", "")
			if err != nil {
				results <- err.Error()
				return
			}
			results <- fmt.Sprint(response.StatusCode, response.Header.Get(headerNotRun))
		})
	}
	wg.Wait()
	close(results)
	counts := map[string]int{}
	for r := range results {
		counts[r]++
	}
	sum := target.Summary()
	if counts["200"] != 2 || counts["5031"] != 8 {
		t.Errorf("results %v", counts)
	}
	if sum.MaxExecuting != 2 || sum.MaxOffered < 3 || sum.Refused.Shed != 8 || sum.Executed != 2 {
		t.Errorf("summary %+v", sum)
	}
}

// Guards against waiters that get lost when slots become free or their callers leave.
func TestWaitingForASlot(t *testing.T) {
	s := Defaults()
	s.Slots, s.WaitLimit, s.ServiceMillis = 1, 20, 2
	target, url := startTarget(t, s)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(5+20*i)*time.Millisecond)
			defer cancel()
			_, _, _ = send(ctx, "GET", url+"/status/a", "")
		})
	}
	wg.Wait()
	waitUntil(t, "all slots are free", func() bool {
		target.mu.Lock()
		defer target.mu.Unlock()
		return target.offered == 0 && target.handedOver == 0 && len(target.waiting) == 0 && len(target.active) == 0
	})
	if status, _, _ := mustSend(t, "GET", url+"/status/a", ""); status != 200 {
		t.Errorf("status %d after all waiters left", status)
	}
	if sum := target.Summary(); sum.MaxExecuting != 1 {
		t.Errorf("summary %+v", sum)
	}
}

// Guards against a fenced target that executes what no valid grant covers.
func TestFencing(t *testing.T) {
	s := Defaults()
	s.Fenced = true
	_, url := startTarget(t, s)
	read := func(group, slice string) (int, string) {
		status, _, h := mustSend(t, "GET", url+"/status/a", "", headerGroupEpoch, group, headerSliceEpoch, slice, headerKeyHash, "7")
		return status, h.Get(headerNotRun)
	}
	if status, notRun := read("5", "3"); status != 409 || notRun != "1" {
		t.Errorf("without a grant: %d %q", status, notRun)
	}
	if status, _, _ := mustSend(t, "PUT", url+"/bronzelever/grants", grantJSON(5, 3, time.Minute)); status != 200 {
		t.Fatalf("grant refused: %d", status)
	}
	cases := []struct {
		group, slice string
		status       int
	}{{"5", "3", 200}, {"4", "3", 409}, {"6", "3", 409}, {"5", "2", 409}, {"5", "4", 409}, {"", "3", 409}}
	for _, c := range cases {
		if status, _ := read(c.group, c.slice); status != c.status {
			t.Errorf("group epoch %q, slice epoch %q: %d, want %d", c.group, c.slice, status, c.status)
		}
	}
	status, answer, _ := mustSend(t, "PUT", url+"/bronzelever/grants", grantJSON(4, 9, time.Minute))
	if status != 409 || !strings.HasPrefix(answer, `{"group_epoch":"5","now":"`) {
		t.Errorf("an older grant was answered with %d %s", status, answer)
	}
	mustSend(t, "PUT", url+"/bronzelever/grants", `{"group_epoch":"5","ttl_ms":60000,"slices":[]}`)
	if status, _ := read("5", "3"); status != 409 {
		t.Errorf("after the revocation: %d", status)
	}
}

// startFenced starts an execution for key hash 7 that takes until the grant is lost.
func startFenced(t *testing.T, target *Target, url, group string) chan int {
	t.Helper()
	done := make(chan int, 1)
	go func() {
		response, _, err := send(context.Background(), "GET", url+"/status/a", "", headerGroupEpoch, group, headerSliceEpoch, "3",
			headerKeyHash, "7")
		if err != nil {
			done <- 0
			return
		}
		done <- response.StatusCode
	}()
	waitUntil(t, "the execution has started", func() bool { return target.Summary().Executing == 1 })
	return done
}

func fencedSettings() Settings {
	s := Defaults()
	s.Fenced = true
	s.ServiceMillis = 60_000
	return s
}

// Guards against executions that outlive the loss of their key: a grant without it must end them before it is
// acknowledged. A new gateway or slice epoch alone must not end them, because the key stays.
func TestRevocationEndsExecutions(t *testing.T) {
	target, url := startTarget(t, fencedSettings())
	mustSend(t, "PUT", url+"/bronzelever/grants", grantJSON(5, 3, time.Minute))
	done := startFenced(t, target, url, "5")
	mustSend(t, "PUT", url+"/bronzelever/grants", grantJSON(6, 4, time.Minute))
	if n := target.Summary().Executing; n != 1 {
		t.Errorf("%d executions after a change of gateway and epoch, want 1", n)
	}
	mustSend(t, "PUT", url+"/bronzelever/grants",
		`{"group_epoch":"6","ttl_ms":60000,"slices":[{"low":"8","high":"9","epoch":"5"}]}`)
	if n := target.Summary().Executing; n != 0 {
		t.Errorf("%d executions after the acknowledged revocation", n)
	}
	if status := <-done; status != http.StatusGatewayTimeout {
		t.Errorf("status %d", status)
	}
}

// Guards against a grant that a frozen target reads long after it was sent and that then counts as fresh, although its
// gateway has given the key to another target.
func TestLateGrantHasLapsed(t *testing.T) {
	s := Defaults()
	s.Fenced = true
	target, url := startTarget(t, s)
	_, answer, _ := mustSend(t, "PUT", url+"/bronzelever/grants", grantJSON(5, 3, 30*time.Millisecond))
	var first grantAnswer
	if err := json.Unmarshal([]byte(answer), &first); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the grant has expired", func() bool { return target.clock.Now() > first.Now.Add(40*time.Millisecond) })
	read := func() int {
		status, _, _ := mustSend(t, "GET", url+"/status/a", "", headerGroupEpoch, "5", headerSliceEpoch, "3", headerKeyHash, "7")
		return status
	}
	late := fmt.Sprintf(`{"group_epoch":"5","ttl_ms":30,"as_of":"%d","slices":[{"low":"0","high":"9","epoch":"3"}]}`, first.Now)
	if status, _, _ := mustSend(t, "PUT", url+"/bronzelever/grants", late); status != 200 {
		t.Errorf("the late grant was answered with %d", status)
	}
	if status := read(); status != 409 {
		t.Errorf("a request under the late grant was answered with %d", status)
	}
	fresh := fmt.Sprintf(`{"group_epoch":"5","ttl_ms":60000,"as_of":"%d","slices":[{"low":"0","high":"9","epoch":"3"}]}`, first.Now)
	mustSend(t, "PUT", url+"/bronzelever/grants", fresh)
	if status := read(); status != 200 {
		t.Errorf("a request under a fresh grant was answered with %d", status)
	}
}

// Guards against a frozen target that completes an execution after its grant has expired, also if it gets the key back
// before it notices: another target may have owned the key meanwhile.
func TestExpiryEndsExecutions(t *testing.T) {
	for _, regrant := range []bool{false, true} {
		target, url := startTarget(t, fencedSettings())
		mustSend(t, "PUT", url+"/bronzelever/grants", grantJSON(6, 3, 300*time.Millisecond))
		done := startFenced(t, target, url, "6")
		frozen := target.Settings()
		frozen.Frozen = true
		target.Change(frozen)
		target.mu.Lock()
		expires := target.grant.expires
		target.mu.Unlock()
		waitUntil(t, "the grant has expired", func() bool { return target.clock.Now() > expires.Add(50*time.Millisecond) })
		if regrant {
			target.installGrant(grantBody{GroupEpoch: 7, TTLMillis: 60_000, Slices: []grantSlice{{Low: 0, High: 9, Epoch: 5}}})
		}
		frozen.Frozen = false
		target.Change(frozen)
		if status := <-done; status != http.StatusGatewayTimeout {
			t.Errorf("regrant %v: status %d", regrant, status)
		}
		e := target.executionsFrom(1)[0]
		if e.Aborted != abortedFence || e.End > expires {
			t.Errorf("regrant %v: execution %+v lasted beyond its grant, which expired at %d", regrant, e, expires)
		}
	}
}

// Guards against a caller that stops sending or reading a bundle and keeps the slot beyond the deadline.
func TestStalledBundleFreesItsSlot(t *testing.T) {
	target, url := startTarget(t, Defaults())
	stalled := map[string]string{
		"upload":   "POST /photos HTTP/1.1\r\nHost: t\r\nContent-Length: 1000\r\nBronzelever-Deadline-Ms: 100\r\n\r\nabc",
		"download": "GET /photos/p?bytes=16000000 HTTP/1.1\r\nHost: t\r\nBronzelever-Deadline-Ms: 100\r\n\r\n",
	}
	for name, text := range stalled {
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		// A small buffer makes the download stall long before its end.
		if err := c.(*net.TCPConn).SetReadBuffer(4096); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the "+name+" has started", func() bool { return target.Summary().Executing == 1 })
		waitUntil(t, "the slot of the "+name+" is free", func() bool { return target.Summary().Executing == 0 })
	}
	for _, e := range target.executionsFrom(1) {
		if e.Aborted != abortedDeadline {
			t.Errorf("execution %+v", e)
		}
	}
}

// Guards against a target that is warm too early or that accepts its full load while cold.
func TestColdStart(t *testing.T) {
	s := Defaults()
	s.Cold, s.ColdSlots, s.WarmAfter, s.Slots, s.ServiceMillis, s.AnnounceCold = true, 1, 3, 4, 1, true
	target, url := startTarget(t, s)
	if _, load, _ := mustSend(t, "GET", url+"/load", ""); strings.TrimSpace(load) != `{"in_flight":0,"slots":1,"cold":true}` {
		t.Errorf("load report %s", load)
	}
	for range 2 {
		mustSend(t, "GET", url+"/status/a", "")
	}
	if sum := target.Summary(); !sum.Cold || sum.MaxExecutingCold != 1 {
		t.Errorf("before the last cold request: %+v", sum)
	}
	mustSend(t, "GET", url+"/status/a", "")
	if target.Summary().Cold {
		t.Error("still cold")
	}
	mustSend(t, "PUT", url+"/control", `{"cold":true}`)
	if !target.Summary().Cold {
		t.Error("not cold again")
	}
}

// Guards against requests that keep their slot after their deadline or after their caller has left.
func TestDeadlineAndCancellation(t *testing.T) {
	s := Defaults()
	s.ServiceMillis = 60_000
	target, url := startTarget(t, s)
	if status, _, h := mustSend(t, "GET", url+"/status/a", "", headerDeadline, "20"); status != 504 || h.Get(headerNotRun) != "" {
		t.Errorf("deadline answered with %d, not-run %q", status, h.Get(headerNotRun))
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_, _, _ = send(ctx, "GET", url+"/status/a", "")
		close(done)
	}()
	waitUntil(t, "the execution has started", func() bool { return target.Summary().Executing == 1 })
	cancel()
	<-done
	waitUntil(t, "the slot is free", func() bool { return target.Summary().Executing == 0 })
	got := target.executionsFrom(1)
	if len(got) != 2 || got[0].Aborted != abortedDeadline || got[1].Aborted != abortedCancel {
		t.Errorf("executions %+v", got)
	}
}

// Guards against orders whose repeated execution isn't recorded, and against a crash marker that is overlooked.
func TestOrdersAndCrash(t *testing.T) {
	crashed := make(chan struct{}, 3)
	target := New(Defaults(), 4, func() { crashed <- struct{}{} })
	server := httptest.NewServer(target.Handler())
	defer server.Close()
	for range 2 {
		mustSend(t, "POST", server.URL+"/orders", "x", "Idempotency-Key", "o1")
	}
	mustSend(t, "POST", server.URL+"/orders", "y", "Idempotency-Key", "o2")
	if got := target.Summary().RepeatedOrders; len(got) != 1 || got["o1"] != 2 {
		t.Errorf("repeated orders %v", got)
	}
	if len(crashed) != 0 {
		t.Fatal("crash without a marker")
	}
	mustSend(t, "POST", server.URL+"/orders", "... crash-target ...", "Idempotency-Key", "o3")
	mustSend(t, "GET", server.URL+"/status/a", "", "Standin-Marker", "crash-target")
	mustSend(t, "GET", server.URL+"/status/crash-target", "")
	if len(crashed) != 3 {
		t.Errorf("%d crashes, want 3", len(crashed))
	}
}

// Guards against a record that answers wrong executions after its ring has wrapped.
func TestRecordWraps(t *testing.T) {
	s := Defaults()
	s.ServiceMillis = 0
	target := New(s, 4, nil)
	server := httptest.NewServer(target.Handler())
	defer server.Close()
	for i := range 10 {
		mustSend(t, "GET", server.URL+"/status/a", "", "X-Request-Id", fmt.Sprint("r", i+1), headerKeyHash, "18446744073709551615")
	}
	_, answer, _ := mustSend(t, "GET", server.URL+"/record?since=8", "")
	var record Record
	if err := json.Unmarshal([]byte(answer), &record); err != nil {
		t.Fatal(err)
	}
	if record.Summary.First != 7 || record.Summary.Executed != 10 || len(record.Executions) != 3 {
		t.Fatalf("record %+v", record)
	}
	for i, e := range record.Executions {
		if e.RequestID != fmt.Sprint("r", 8+i) || e.KeyHash != math.MaxUint64 || e.Start > e.End {
			t.Errorf("execution %d: %+v", i, e)
		}
	}
}

// Guards against bundles that are cut, altered or not checked.
func TestBundles(t *testing.T) {
	target, url := startTarget(t, Defaults())
	for _, size := range []int64{0, 1, 100_003, 1 << 20} {
		status, body, h := mustSend(t, "GET", fmt.Sprintf("%s/photos/p1?bytes=%d", url, size), "")
		hash := bundle.NewHash()
		_, _ = hash.Write([]byte(body))
		sum := bundle.Checksum(hash)
		if status != 200 || int64(len(body)) != size || sum != bundle.ChecksumOf("p1", size) || sum != h.Get(bundle.ChecksumHeader) {
			t.Errorf("size %d: status %d, %d bytes, checksum %s", size, status, len(body), sum)
		}
		status, answer, _ := mustSend(t, "POST", url+"/photos", body, bundle.ChecksumHeader, sum)
		if status != 200 || !strings.Contains(answer, sum) {
			t.Errorf("upload of %d bytes: %d %s", size, status, answer)
		}
	}
	if status, _, _ := mustSend(t, "POST", url+"/photos", "abc", bundle.ChecksumHeader, "00"); status != 422 {
		t.Errorf("a wrong checksum was answered with %d", status)
	}
	if sum := target.Summary(); sum.Executing != 0 || sum.Executed != 9 {
		t.Errorf("summary %+v", sum)
	}
}

// Guards against a connection limit that isn't enforced, and against reports that ignore their settings.
func TestConnectionLimitAndReports(t *testing.T) {
	s := Defaults()
	s.Connections = 2
	target := New(s, 4, nil)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: target.Handler()}
	go func() { _ = server.Serve(target.Limit(plain)) }()
	defer server.Close()
	for range 5 {
		// The reset of a refused connection can arrive while it is still being established.
		if c, err := net.Dial("tcp", plain.Addr().String()); err == nil {
			defer c.Close()
		}
	}
	waitUntil(t, "three connections are refused", func() bool { return target.Summary().Refused.Connections == 3 })
	if sum := target.Summary(); sum.MaxConnections != 2 {
		t.Errorf("summary %+v", sum)
	}

	s.FalseInFlight, s.ReportLagMillis, s.Draining = 7, 60_000, true
	lying, url := startTarget(t, s)
	if _, load, _ := mustSend(t, "GET", url+"/load", ""); strings.TrimSpace(load) != `{"in_flight":7,"slots":2}` {
		t.Errorf("load %s", load)
	}
	s.Draining = false
	lying.Change(s)
	if _, health, _ := mustSend(t, "GET", url+"/health", ""); strings.TrimSpace(health) != `{"status":"draining"}` {
		t.Errorf("the lagging report answered %s", health)
	}
}
