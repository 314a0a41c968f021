package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// unseenCrashTime is how long a request is sent whose crashes close no connection before the head of the response. It allows for three
	// crashes, the time until the request must be refused, and more arrivals after that than are permitted.
	unseenCrashTime = 16 * time.Second
	// unseenCrashInterval is the time between such requests.
	unseenCrashInterval = 300 * time.Millisecond
	// minServedBesides is the share of the other requests that must be served meanwhile.
	minServedBesides = 0.8
)

// Guards against a request that crashes one target after another without being refused, because its crashes look different from a
// connection that closes before the response: the target falls silent, or the response breaks off. The check of late arrivals is that of the stand-in's checker.
func TestUnusualCrashesAreCounted(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, path string }{
		{"orders, silence", standin.PathOrder + standin.PathSilentCrash},
		{"orders, amid the response", standin.PathOrder + standin.PathPartialCrash},
		{"orders, amid a long response", standin.PathOrder + standin.PathStreamCrash},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := startCrashRun(t, 8)
			var others outcomeCounts
			var group sync.WaitGroup
			end := time.Now().Add(unseenCrashTime)
			for vm := range r.VMs {
				group.Go(func() {
					client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
					for n := 0; time.Now().Before(end); n++ {
						x := exchange{id: fmt.Sprintf("other-%d-%05d", vm, n), vm: vm, order: true}
						x.path = standin.PathOrder + x.id
						r.send(t.Context(), client, &x, 0, clientTimeout)
						others.record(x)
						r.checker.checkExchange(x)
						wait(t.Context(), 100*time.Millisecond)
					}
				})
			}
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for n := 0; time.Now().Before(end); n++ {
				x := exchange{id: fmt.Sprintf("crash-%05d", n), path: c.path, vm: n % r.VMs, order: strings.HasPrefix(c.path, standin.PathOrder)}
				r.send(t.Context(), client, &x, 4711, clientTimeout)
				r.checker.checkExchange(x)
				wait(t.Context(), unseenCrashInterval)
			}
			group.Wait()
			crashes := r.deployment.Checker.Crashes(c.path)
			t.Logf("%d crashes, at seconds %.2f; other requests: %d of %d served", len(crashes), crashes, others.served.Load(), others.sent.Load())
			if len(crashes) < 3 {
				t.Errorf("the request has crashed %d targets", len(crashes))
			}
			if served, sent := others.served.Load(), others.sent.Load(); float64(served) < minServedBesides*float64(sent) {
				t.Errorf("%d of %d other requests are served", served, sent)
			}
			r.reportViolations(t)
		})
	}
}
