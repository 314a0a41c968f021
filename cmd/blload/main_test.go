package main

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/internal/load"
)

// Guards against options that are ignored or stored in the wrong field.
func TestParseClass(t *testing.T) {
	got, err := parseClass("order:12.5,name=o,tenant=t,path=/p,weight=3,keys=5,zipf=1.5,repeat=0.1,bytes=9,timeout=2s")
	want := load.Class{Kind: load.Order, Rate: 12.5, Name: "o", Tenant: "t", Path: "/p", Weight: 3, Keys: 5, Zipf: 1.5,
		RepeatShare: 0.1, BundleBytes: 9, Timeout: 2 * time.Second}
	if err != nil || got != want {
		t.Errorf("%+v, %v; want %+v", got, err, want)
	}
	for _, text := range []string{"read", "read:x", "read:1,colour=red", "read:1,weight=x"} {
		if _, err := parseClass(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
