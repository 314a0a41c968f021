// Command standin plays the platform, the upstreams and the clients of a small deployment around real processes of the system, for the cases
// of the review. Its first argument names the case; the second is the folder for record.txt. With TROUBLE=0 in the environment it leaves out the
// disruption, with KEEP set it keeps the folder with the logs of the processes. The argument "calm" alone plays the planner of key ranges under calm
// traffic instead.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*play) int{"table": playTable, "drain": playDrain, "pipeline": playPipeline, "foreign": playForeign}

func main() {
	if len(os.Args) == 2 && os.Args[1] == "calm" {
		simulateCalm()
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs are in", dir)
	}
	p := &play{dir: dir, record: record, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{})}
	defer p.close()
	defer func() {
		if v := recover(); v != nil {
			p.say("the case could not run: %v", v)
			code = exitNotRun
		}
	}()
	p.store = newStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p.storeAddress = l.Addr().String()
	go func() { _ = (&http.Server{Handler: p.store}).Serve(l) }()
	return cases[name](p)
}

// play is one run of a case.
type play struct {
	dir, storeAddress string
	trouble           bool
	started           time.Time
	store             *store
	machines          []*machine
	servers           []*server
	stop              chan struct{}

	mu     sync.Mutex
	record *os.File
}

// note writes a line with the time since the start to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.record, "%8.3f s  %s\n", time.Since(p.started).Seconds(), fmt.Sprintf(format, args...))
}

// say is like note and prints the line, too.
func (p *play) say(format string, args ...any) {
	p.note(format, args...)
	fmt.Printf("%8.3f s  %s\n", time.Since(p.started).Seconds(), fmt.Sprintf(format, args...))
}

func (p *play) addMachines(n int) {
	for i := range n {
		m := newMachine(p.dir, i, p.storeAddress)
		p.machines = append(p.machines, m)
		go m.watchReady(p.stop)
	}
	for _, m := range p.machines {
		if err := m.start(); err != nil {
			panic(err)
		}
	}
}

func (p *play) addServers(service string, n, slots int, work time.Duration, sharded bool) []*server {
	var list []*server
	for i := range n {
		s := &server{
			id: fmt.Sprintf("i-%s%07x", service[:3], 0x1a2b3c4+i*7919), service: service, zone: zones[i%len(zones)], sharded: sharded, slots: slots, work: work,
			store: p.store,
		}
		if err := s.start("127.0.0.1"); err != nil {
			panic(err)
		}
		list = append(list, s)
	}
	p.servers = append(p.servers, list...)
	return list
}

// close ends all processes that the case has started.
func (p *play) close() {
	close(p.stop)
	for _, m := range p.machines {
		m.kill()
	}
	for _, s := range p.servers {
		s.exit()
	}
}

// sleepUntil sleeps until the given time since the start of the case.
func (p *play) sleepUntil(at time.Duration) {
	time.Sleep(time.Until(p.started.Add(at)))
}

// since returns the time since the start of the case.
func (p *play) since() time.Duration { return time.Since(p.started) }
