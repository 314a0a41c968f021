// Command platformstandin serves the stand-in of the platform's services on loopback addresses. It is for tests only.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/bronzelever/bronzelever/internal/standin/platform"
)

type cli struct {
	Listen          []string      `required:"" placeholder:"HOST:PORT" help:"Addresses; each has faults of its own and all share the data."`
	WritesPerSecond int           `default:"400" help:"Writes per second before throttling."`
	ReadsPerSecond  int           `default:"2000" help:"Reads per second before throttling."`
	VMListLag       time.Duration `default:"0s" help:"Time after which a change of the VM list becomes visible."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("platformstandin"), kong.Description("Stand-in for table service, object store and VM list."))
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(c cli) error {
	p := platform.New(platform.Settings{
		WritesPerSecond: c.WritesPerSecond,
		ReadsPerSecond:  c.ReadsPerSecond,
		VMListLag:       c.VMListLag,
	})
	failed := make(chan error, len(c.Listen))
	for _, address := range c.Listen {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		fmt.Println("listening on", listener.Addr())
		server := &http.Server{Handler: p.NewFront()}
		go func() { failed <- server.Serve(listener) }()
	}
	return <-failed
}
