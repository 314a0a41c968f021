package main

import (
	"testing"

	"github.com/alecthomas/kong"

	"github.com/bronzelever/bronzelever/internal/standin/target"
)

// Guards against tests in the process and tests with processes that run with different defaults.
func TestDefaultsMatchTheCommandLine(t *testing.T) {
	var c cli
	parser, err := kong.New(&c)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parser.Parse([]string{"--listen", "127.0.0.1:0"}); err != nil {
		t.Fatal(err)
	}
	if c.Settings != target.Defaults() {
		t.Errorf("command line %+v, package %+v", c.Settings, target.Defaults())
	}
}
