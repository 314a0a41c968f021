package dynamo

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/internal/standin/platform"
	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/bronzelever/bronzelever/pkg/store"
)

type fixture struct {
	store    *Store
	platform *platform.Platform
	front    *platform.Front
	server   *httptest.Server
	scope    tally.TestScope
}

func newFixture(t *testing.T, s platform.Settings) *fixture {
	t.Helper()
	t.Setenv("TEST_ACCESS_KEY", "access")
	t.Setenv("TEST_SECRET_KEY", "secret")
	return newPlatformFixture(t, platform.New(s))
}

// withNewFront returns a fixture with a new client and a new front for the same platform.
func (f *fixture) withNewFront(t *testing.T) *fixture {
	t.Helper()
	return newPlatformFixture(t, f.platform)
}

func newPlatformFixture(t *testing.T, p *platform.Platform) *fixture {
	t.Helper()
	front := p.NewFront()
	server := httptest.NewServer(front)
	t.Cleanup(server.Close)
	scope := tally.NewTestScope("", nil)
	client, err := New(settings.Store{
		TableEndpoint:  server.URL,
		ObjectEndpoint: server.URL,
		Region:         "test",
		Table:          "t",
		Bucket:         "b",
		AccessKeyEnv:   "TEST_ACCESS_KEY",
		SecretKeyEnv:   "TEST_SECRET_KEY",
	}, scope)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return &fixture{store: client, platform: p, front: front, server: server, scope: scope}
}

func checkError(t *testing.T, what string, err, want error) {
	t.Helper()
	if want == nil && err != nil || want != nil && !errors.Is(err, want) {
		t.Errorf("%s: %v, want %v", what, err, want)
	}
}

// Guards against a write that ignores its condition, a row that is altered when it is stored or read, and calls that aren't
// counted.
func TestRows(t *testing.T) {
	f := newFixture(t, platform.Settings{})
	ctx := context.Background()
	_, err := f.store.Get(ctx, "k")
	checkError(t, "get of a missing row", err, store.ErrNotFound)
	_, err = f.store.Put(ctx, "k", []byte("x"), 3, "w0")
	checkError(t, "put on a missing row", err, store.ErrConflict)
	value := []byte{0, 0xff, '"', '\n'}
	revision, err := f.store.Put(ctx, "k", value, 0, "w1")
	checkError(t, "first put", err, nil)
	_, err = f.store.Put(ctx, "k", value, 0, "w2")
	checkError(t, "second creation", err, store.ErrConflict)
	row, err := f.store.Get(ctx, "k")
	checkError(t, "get", err, nil)
	if revision != 1 || row.Revision != 1 || row.Token != "w1" || row.Key != "k" || !bytes.Equal(row.Value, value) {
		t.Errorf("revision %d, row %+v", revision, row)
	}
	revision, err = f.store.Put(ctx, "k", nil, 1, "w3")
	checkError(t, "update", err, nil)
	if revision != 2 {
		t.Errorf("revision %d, want 2", revision)
	}
	conflicts := f.scope.Snapshot().Counters()["store.operations+operation=put,result=conflict"]
	if conflicts == nil || conflicts.Value() != 2 {
		t.Errorf("counters %v", f.scope.Snapshot().Counters())
	}
}

// Guards against objects that can be overwritten.
func TestObjects(t *testing.T) {
	f := newFixture(t, platform.Settings{})
	ctx := context.Background()
	_, err := f.store.GetObject(ctx, "config/1")
	checkError(t, "get of a missing object", err, store.ErrNotFound)
	checkError(t, "create", f.store.CreateObject(ctx, "config/1", []byte("body")), nil)
	checkError(t, "second create", f.store.CreateObject(ctx, "config/1", []byte("other")), store.ErrConflict)
	body, err := f.store.GetObject(ctx, "config/1")
	if err != nil || string(body) != "body" {
		t.Errorf("%q, %v", body, err)
	}
}

// Guards against reporting that a write had no effect although it may have had one, and against retries within a call.
func TestFaults(t *testing.T) {
	f := newFixture(t, platform.Settings{})
	ctx := context.Background()

	f.front.SetFaults(platform.Faults{LoseReplies: 1})
	_, err := f.store.Put(ctx, "k", nil, 0, "w1")
	checkError(t, "lost reply", err, store.ErrAmbiguous)
	row, err := f.store.Get(ctx, "k")
	if err != nil || row.Token != "w1" {
		t.Errorf("after the lost reply: %+v, %v", row, err)
	}
	if n := f.platform.Counts().Writes; n != 1 {
		t.Errorf("one Put sent %d writes", n)
	}

	for _, mode := range []platform.DownMode{platform.DownReset, platform.DownError} {
		f.front.SetFaults(platform.Faults{Down: true, DownMode: mode})
		_, err = f.store.Put(ctx, "k", nil, 1, "w2")
		checkError(t, "put while down: "+string(mode), err, store.ErrAmbiguous)
		_, err = f.store.Get(ctx, "k")
		checkError(t, "get while down: "+string(mode), err, store.ErrUnavailable)
		checkError(t, "create while down: "+string(mode), f.store.CreateObject(ctx, "o", nil), store.ErrAmbiguous)
		_, err = f.store.GetObject(ctx, "o")
		checkError(t, "get object while down: "+string(mode), err, store.ErrUnavailable)
	}

	f.front.SetFaults(platform.Faults{ApplyLateCount: 1, ApplyLateMillis: 1})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = f.store.Put(short, "k", nil, 1, "w3")
	checkError(t, "late write", err, store.ErrAmbiguous)

	f.server.Close()
	_, err = f.store.Put(ctx, "k", nil, 1, "w4")
	checkError(t, "put without a listener", err, store.ErrUnavailable)
}

// Guards against treating throttling as an unknown outcome, which would cause more reads while the service is throttling.
func TestThrottling(t *testing.T) {
	f := newFixture(t, platform.Settings{WritesPerSecond: 1, ReadsPerSecond: 1})
	ctx := context.Background()
	_, _ = f.store.Put(ctx, "k", nil, 0, "w1")
	_, err := f.store.Put(ctx, "k", nil, 1, "w2")
	checkError(t, "throttled put", err, store.ErrUnavailable)
	checkError(t, "throttled create", f.store.CreateObject(ctx, "o", nil), store.ErrUnavailable)
	_, _ = f.store.Get(ctx, "k")
	_, err = f.store.Get(ctx, "k")
	checkError(t, "throttled get", err, store.ErrUnavailable)
}

// Guards against a call that exceeds its timeout when the service never responds.
func TestTimeout(t *testing.T) {
	f := newFixture(t, platform.Settings{})
	f.front.SetFaults(platform.Faults{Down: true, DownMode: platform.DownHang})
	start := time.Now()
	_, err := f.store.Get(context.Background(), "k")
	checkError(t, "get without a response", err, store.ErrUnavailable)
	if d := time.Since(start); d < CallTimeout/2 || d > 3*CallTimeout {
		t.Errorf("the call took %v, want about CallTimeout", d)
	}
}

// Guards against creating a client without credentials, which would fail only at its first call.
func TestMissingCredentials(t *testing.T) {
	t.Setenv("TEST_ACCESS_KEY", "access")
	for _, s := range []settings.Store{
		{AccessKeyEnv: "TEST_UNSET", SecretKeyEnv: "TEST_ACCESS_KEY"},
		{AccessKeyEnv: "TEST_ACCESS_KEY", SecretKeyEnv: "TEST_UNSET"},
	} {
		if _, err := New(s, tally.NoopScope); err == nil {
			t.Errorf("%+v was accepted", s)
		}
	}
}
