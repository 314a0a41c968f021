package main

import (
	"bytes"
	"io"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against admission by value that is on although it isn't set.
func TestAdmitByValueIsOffUnlessSet(t *testing.T) {
	for _, args := range [][]string{nil, {"--admit-by-value"}} {
		if parsed, _, ok := parse(args, io.Discard, io.Discard); !ok || parsed.AdmitByValue != (len(args) > 0) {
			t.Errorf("%v: %v", args, parsed.AdmitByValue)
		}
	}
}

// Guards against a share of extra requests out of range that is accepted, one in range that is refused, and a default that sends extra
// requests.
func TestHedgeExtraShare(t *testing.T) {
	// The settings file is missing, which is reported once the arguments are valid.
	settings := filepath.Join(t.TempDir(), "missing")
	for share, valid := range map[string]bool{"-0.01": false, "0.1001": false, "1": false, "NaN": false, "+Inf": false, "x": false, "0": true, "0.1": true} {
		var errOut bytes.Buffer
		code := run(t.Context(), []string{"--check", "--hedge-extra-share=" + share, settings}, io.Discard, &errOut)
		if refused := strings.Contains(errOut.String(), "--hedge-extra-share"); code != exitInvalid || refused == valid {
			t.Errorf("%s: exit code %d, %s", share, code, errOut.String())
		}
	}
	if parsed, _, ok := parse(nil, io.Discard, io.Discard); !ok || parsed.HedgeExtraShare != 0 {
		t.Errorf("default share is %v", parsed.HedgeExtraShare)
	}
}
