package quickstart

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
)

// searchSecrets looks for keys, bodies and idempotency keys in logs, dumps and metrics of entry VMs outside their region.
func (f *faultRun) searchSecrets() error {
	found, searched := 0, 0
	for _, v := range f.vms {
		secret := secretOf(1 - f.regionIndex(v.Region))
		texts, err := f.textsOf(v)
		if err != nil {
			return trace.Wrap(err)
		}
		for name, text := range texts {
			searched += len(text)
			if strings.Contains(text, secret) {
				found++
				f.report.note("example", name+" of "+v.VM)
			}
		}
	}
	f.report.note("logs, dumps and metrics searched", fmt.Sprintf("%d KiB", searched>>10))
	atMost(f.report, "logs, dumps and metrics outside the home region with its data", found, 0, "")
	return nil
}

// textsOf returns what an entry VM shows to operators.
func (f *faultRun) textsOf(v *vm) (map[string]string, error) {
	texts := map[string]string{}
	for _, name := range []string{"router-" + v.VM, "controller-" + v.VM} {
		data, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		texts[name+".log"] = string(data)
	}
	for _, port := range []string{routerAdminPort, controllerAdminPort} {
		for _, path := range []string{"/dump", "/metrics"} {
			text, err := f.get("http://" + v.at(port) + path)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			texts[port+path] = text
		}
	}
	return texts, nil
}

func (f *faultRun) get(url string) (string, error) {
	response, err := f.deployment.client.Get(url)
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), trace.Wrap(err)
}
