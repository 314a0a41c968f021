// Command targetstandin runs one stand-in back end on loopback addresses. It is for tests only.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/bronzelever/bronzelever/internal/standin/target"
)

const (
	crashStatus = 3
	// gcPercent keeps a target below 15 MB resident, so that tests can run dozens of them.
	gcPercent   = 25
	stopTimeout = 30 * time.Second
)

type cli struct {
	Listen        string `required:"" placeholder:"HOST:PORT" help:"Address for routers."`
	ControlListen string `placeholder:"HOST:PORT" help:"Further address for control and record, whose connections don't count."`
	RecordLimit   int    `default:"4096" help:"Executions that the record holds."`
	target.Settings
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("targetstandin"), kong.Description("Stand-in for a back end."))
	debug.SetGCPercent(gcPercent)
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(c cli) error {
	t := target.New(c.Settings, c.RecordLimit, func() { os.Exit(crashStatus) })
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	server := &http.Server{Handler: t.Handler()}
	go func() { failed <- server.Serve(t.Limit(listener)) }()
	fmt.Println("listening on", listener.Addr())
	if c.ControlListen != "" {
		control, err := net.Listen("tcp", c.ControlListen)
		if err != nil {
			return err
		}
		go func() { failed <- http.Serve(control, t.ControlHandler()) }()
	}
	stop, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	ending, cancelEnding := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelEnding()
	return server.Shutdown(ending)
}
