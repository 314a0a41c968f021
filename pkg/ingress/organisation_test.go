package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
)

const testCredential = "c-0123456789"

// organise gives the server's configuration two organisations, of which org-1 holds testCredential and another one, and makes /short/
// public.
func (s *testServer) organise(t *testing.T, homeRegions ...string) *inventory.Configuration {
	t.Helper()
	cfg, salt := s.state.Current().Snapshot.Configuration, []byte("salt")
	digest := func(text string) inventory.CredentialDigest { return inventory.DigestCredential(salt, text) }
	err := cfg.SetOrganisations([]*inventory.Organisation{{Name: "org-1", Priority: 2, HomeRegions: homeRegions}, {Name: "org-2"}},
		[][]inventory.CredentialDigest{{digest(testCredential), digest("second")}, {digest("other")}}, salt)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Match("h", "/short/").Public = true
	return cfg
}

// sendRaw sends the text on a connection of its own and returns the response.
func (s *testServer) sendRaw(t *testing.T, text string) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// Guards against requests that are served without a valid credential, against a VM that waits for the body of a request that it refuses,
// and against credentials in the log or in the labels of metrics. The bodies are announced and never sent.
func TestRequestsNeedAValidCredential(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { respondOK(r, c) })
	s := newTestServer(t, target)
	s.organise(t)
	metrics := tally.NewTestScope("", nil)
	s.handler.Metrics = NewMetrics(metrics)
	long := strings.Repeat("x", inventory.MaxCredentialBytes+1)
	for fields, reason := range map[string]string{
		"": reasonCredentialMissing, "T-Credential:\r\n": reasonCredentialMissing, "T-Credential: wrong-one\r\n": reasonCredentialUnknown,
		"T-Credential: " + testCredential + "\r\nt-credential: " + testCredential + "\r\n": reasonCredentialRepeated,
		"T-Credential: " + testCredential + ", other\r\n":                                  reasonCredentialUnknown,
		"T-Credential: " + long + "\r\n":                                                   reasonCredentialTooLong,
		"Connection: T-Credential\r\nT-Credential: \r\n":                                   reasonCredentialMissing,
	} {
		response := s.sendRaw(t, "POST /order/1 HTTP/1.1\r\nHost: h\r\nT-Id: i\r\nContent-Length: 100000\r\n"+fields+"\r\n")
		if response.StatusCode != http.StatusUnauthorized {
			t.Errorf("%q: status %d", fields, response.StatusCode)
		}
		if !strings.Contains(s.logged(), "event=856 request=i status=401 reason="+reason+" ") {
			t.Errorf("%q: no event with %s", fields, reason)
		}
	}
	if target.count() != 0 {
		t.Errorf("%d requests without a credential reached the target", target.count())
	}
	for _, credential := range []string{testCredential, "second", "other"} {
		if r := s.send(t, "POST", "/order/1", "x", "T-Credential", credential); r.status != http.StatusOK {
			t.Errorf("valid credential: %+v", r)
		}
	}
	if r := s.send(t, "GET", "/short/1", ""); r.status != http.StatusOK {
		t.Errorf("public route: %+v", r)
	}
	counted := fmt.Sprint(metrics.Snapshot().Counters())
	for _, secret := range []string{testCredential, "wrong-one", "org-1", long} {
		if strings.Contains(counted, secret) || secret != "org-1" && strings.Contains(s.logged(), secret) {
			t.Errorf("%q is in the log or in a metric", secret)
		}
	}
	if !strings.Contains(counted, "requests.refused+reason=credential-unknown,status=401") {
		t.Errorf("no counter: %s", counted)
	}
	s.state.view.Store(&View{Changed: make(chan struct{})})
	if r := s.send(t, "GET", "/read/1", "", "T-Credential", "wrong-one"); r.status != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: %+v", r)
	}
}

// Guards against a credential that reaches a target, and against a caller that chooses the organisation that its target sees.
func TestTargetsGetTheOrganisationOnly(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { respondOK(r, c) })
	s := newTestServer(t, target)
	s.organise(t)
	forged := "t-organisation: org-2\r\nT-ORGANISATION: org-2\r\nConnection: T-Organisation, T-Credential\r\nTrailer: T-Credential, T-Organisation\r\n"
	trailers := "1\r\nx\r\n0\r\nT-Credential: " + testCredential + "\r\nT-Organisation: org-2\r\n\r\n"
	for path, want := range map[string][]string{"/order/1": {"org-1"}, "/short/1": nil} {
		response := s.sendRaw(t, "POST "+path+" HTTP/1.1\r\nHost: h\r\nT-Id: i\r\ntransfer-encoding: chunked\r\nT-cREDENTIAL: "+testCredential+"\r\n"+forged+"\r\n"+trailers)
		seen := target.requests()
		last := seen[len(seen)-1]
		if response.StatusCode != http.StatusOK || !slices.Equal(last.Header["T-Organisation"], want) {
			t.Errorf("%s: status %d, organisation %q", path, response.StatusCode, last.Header["T-Organisation"])
		}
		if text := fmt.Sprint(last.Header, last.Trailer); strings.Contains(text, testCredential) || strings.Contains(text, "org-2") {
			t.Errorf("%s: the target got %s", path, text)
		}
	}
}

// Guards against a change for deployments without organisations. The text is what the version before organisations sent.
func TestWithoutOrganisationsRequestsAreForwardedAsBefore(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	received := make(chan string, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var head strings.Builder
		for reader := bufio.NewReader(conn); !strings.HasSuffix(head.String(), "\r\n\r\nxyz"); {
			b, err := reader.ReadByte()
			if err != nil {
				break
			}
			_ = head.WriteByte(b)
		}
		received <- head.String()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nT-Id: i\r\nT-Signed: 1\r\nContent-Length: 2\r\n\r\nok")
	}()
	s := newTestServer(t, &scriptedTarget{address: l.Addr().String()})
	s.sendRaw(t, "POST /order/1?q=%20a HTTP/1.1\r\nHost: h\r\nT-Id: i\r\nT-Credential: any\r\nt-credential: two\r\nT-Organisation: mine\r\nContent-Length: 3\r\n\r\nxyz")
	got := regexp.MustCompile(`T-Left: \d+`).ReplaceAllString(<-received, "T-Left: N")
	want := "POST /order/1?q=%20a HTTP/1.1\r\nHost: h\r\nT-Credential: any\r\nT-Credential: two\r\nT-Id: i\r\nT-Left: N\r\n" +
		"T-Organisation: mine\r\nT-Target: t0\r\nContent-Length: 3\r\n\r\nxyz"
	if got != want {
		t.Errorf("the target got\n%q, want\n%q", got, want)
	}
}

// recordingPlacer is a Placer that records what it is asked and has no VM to ask.
type recordingPlacer struct{ asked chan placing.PlacementRequest }

func (p recordingPlacer) Place(_ context.Context, a placing.PlacementRequest) (Placement, placing.Decision, bool) {
	p.asked <- a
	return nil, placing.Decision{}, false
}

// Guards against a request that is sent outside the home regions of its organisation or its route, and against a broker that doesn't
// learn the organisation, its precedence or the common regions.
func TestOrganisationDeterminesPlacement(t *testing.T) {
	for _, c := range []struct {
		home         []string
		path, reason string
		allowed      []string
	}{
		{nil, "/read/1", "", nil}, {nil, "/home/1", "no-target", []string{"south"}}, {[]string{"north"}, "/read/1", "", []string{"north"}},
		{[]string{"south"}, "/read/1", "no-target", []string{"south"}}, {[]string{"south"}, "/key/1", "owner-outside-home", []string{"south"}},
		{[]string{"north", "south"}, "/home/1", "no-target", []string{"south"}}, {[]string{"north"}, "/home/1", "no-common-region", nil},
	} {
		s := newTestServer(t, newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { respondOK(r, c) }))
		s.organise(t, c.home...)
		placer := recordingPlacer{make(chan placing.PlacementRequest, 9)}
		s.handler.Placer = placer
		r := s.send(t, "GET", c.path, "", "T-Credential", testCredential, "T-Key", "7")
		if c.reason == "" && r.status != http.StatusOK || c.reason != "" && (r.status != http.StatusServiceUnavailable || !strings.Contains(s.logged(), "reason="+c.reason+" ")) {
			t.Errorf("%s, home %v: status %d", c.path, c.home, r.status)
		}
		if c.reason == "no-common-region" {
			continue
		}
		a := <-placer.asked
		if a.Organisation != "org-1" || a.Priority != 2*256 || !slices.Equal(a.AllowedRegions, c.allowed) {
			t.Errorf("%s, home %v: the broker is asked %+v", c.path, c.home, a)
		}
		if s.send(t, "GET", c.path, "", "T-Credential", "second", "T-Key", "7"); (<-placer.asked).Fingerprint != a.Fingerprint {
			t.Error("another credential of the organisation changes the fingerprint")
		}
		if s.send(t, "GET", c.path, "", "T-Credential", "other", "T-Key", "7"); (<-placer.asked).Fingerprint.ByCaller == a.Fingerprint.ByCaller {
			t.Error("another organisation doesn't change the fingerprint")
		}
	}
}

// Guards against a revoked credential that a VM without contact accepts for longer than the operator permits.
func TestOldConfigurationRefusesCredentials(t *testing.T) {
	s := newTestServer(t, newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { respondOK(r, c) }))
	age := 6 * time.Second
	s.handler.ConfigurationAge = func() time.Duration { return age }
	send := func(path string) int { return s.send(t, "GET", path, "", "T-Credential", testCredential).status }
	s.handler.MaxConfigurationAge = 5 * time.Second
	if status := send("/read/1"); status != http.StatusOK {
		t.Errorf("without organisations: status %d", status)
	}
	s.organise(t)
	if secret, public := send("/read/1"), send("/short/1"); secret != http.StatusServiceUnavailable || public != http.StatusOK {
		t.Errorf("old configuration: status %d, public route %d", secret, public)
	}
	age = time.Second
	if status := send("/read/1"); status != http.StatusOK {
		t.Errorf("recent configuration: status %d", status)
	}
	age, s.handler.MaxConfigurationAge = time.Hour, 0
	if status := send("/read/1"); status != http.StatusOK {
		t.Errorf("without the setting: status %d", status)
	}
}
