// Command blcheck checks a configuration for the prepared platform before it is written to the store, and tells what it changes.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/alecthomas/kong"

	"github.com/bronzelever/bronzelever/pkg/configcheck"
	"github.com/bronzelever/bronzelever/pkg/entry"
	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/version"
	"github.com/bronzelever/bronzelever/platform"
)

// Exit codes; docs/OPERATIONS.md explains them.
const (
	exitOK     = 0
	exitErrors = 1
	exitFailed = 2
)

// maxFileBytes bounds the size of the files that are read. It is 16 times what the store accepts, so that a file that is too large for
// the store is still checked.
const maxFileBytes = 16 * platform.MaxConfigurationBytes

const description = `Checks a configuration before it is written to the row "config" of the table "op".

Errors are what VMs refuse or can't use. Warnings are entries without effect and limits that contradict each other. With --in-force,
changes are listed too; those that take effect at once and can make requests fail are marked as risky. Credentials are never printed.

Exit codes: 0 no errors (there may be warnings and changes), 1 errors found, 2 a file can't be read or the arguments are invalid.`

type arguments struct {
	Version  kong.VersionFlag `help:"Print the version and exit."`
	File     string           `arg:"" help:"File with the configuration, a JSON object."`
	InForce  string           `help:"File with the version in force, to list what changes." placeholder:"FILE"`
	Regions  []string         `help:"Regions of the deployment, to check home regions." placeholder:"NAME,..." xor:"regions"`
	Settings string           `help:"Settings file of a VM, from which to take the regions." placeholder:"FILE" xor:"regions"`
	Output   string           `help:"Output format: text or json." enum:"text,json" default:"text" short:"o"`
}

var (
	errTooLarge  = errors.New("is too large")
	errNotObject = errors.New("isn't a JSON object")
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes a command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	var a arguments
	exited := false
	parser := kong.Must(&a, kong.Name("blcheck"), kong.Vars{"version": version.String()}, kong.Description(description),
		kong.Writers(stdout, stderr), kong.Exit(func(int) { exited = true }))
	_, err := parser.Parse(args)
	if exited {
		return exitOK
	}
	var findings finding.List
	if err == nil {
		findings, err = a.check()
	}
	if err == nil {
		err = write(stdout, a.Output, findings)
	}
	switch {
	case err != nil:
		fmt.Fprintln(stderr, "blcheck:", err)
		return exitFailed
	case findings.Errors() > 0:
		return exitErrors
	}
	return exitOK
}

// check returns all findings, sorted and without credentials.
func (a *arguments) check() (finding.List, error) {
	regions, err := a.regions()
	if err != nil {
		return nil, err
	}
	data, err := readFile(a.File)
	if err != nil {
		return nil, err
	}
	reader := platform.NewConfigurationReader()
	next, findings := reader.Read(a.File, data)
	if next != nil {
		options := configcheck.Options{MaxHeaderBytes: entry.MaxHeaderBytes, HeaderTimeout: entry.HeaderTimeout, Regions: regions}
		findings = append(findings, configcheck.Check(next, options)...)
	}
	if findings.Errors() == 0 {
		findings = append(findings, platform.CheckDecoding(a.File, data)...)
	}
	if a.InForce != "" {
		changes, err := a.compare(reader, next)
		if err != nil {
			return nil, err
		}
		findings = append(findings, changes...)
	}
	findings.Sort()
	reader.Withhold(findings)
	return findings, nil
}

// compare returns what next changes in the version in force, and warnings about the format of the latter. next is nil if it can't be
// decoded.
func (a *arguments) compare(reader *platform.ConfigurationReader, next *configcheck.Document) (finding.List, error) {
	data, err := readFile(a.InForce)
	if err != nil {
		return nil, err
	}
	inForce, findings := reader.Read(a.InForce, data)
	if inForce == nil {
		return nil, fmt.Errorf("%s %w", a.InForce, errNotObject)
	}
	for i := range findings {
		findings[i].Severity = finding.Warning
	}
	if next != nil {
		findings = append(findings, configcheck.Compare(inForce, next)...)
	}
	return findings, nil
}

// regions returns the regions of the deployment, none if they aren't given.
func (a *arguments) regions() ([]string, error) {
	if a.Settings == "" {
		return a.Regions, nil
	}
	settings, findings := platform.LoadSettings(a.Settings)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	names := append(slices.Collect(maps.Values(settings.RegionOf)), settings.Region)
	slices.Sort(names)
	return slices.Compact(names), nil
}

// readFile reads a file of bounded size.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	// The file is only read, so an error on close loses no data.
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		err = fmt.Errorf("%s %w: more than %d bytes", path, errTooLarge, maxFileBytes)
	}
	return data, err
}

// write writes the findings. The text ends with how many there are of each severity.
func write(w io.Writer, format string, list finding.List) error {
	if format == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(struct {
			Findings []finding.View `json:"findings"`
		}{list.Views()})
	}
	count := map[finding.Severity]int{}
	for _, f := range list {
		count[f.Severity]++
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "errors: %d, warnings: %d, changes: %d\n", count[finding.Error], count[finding.Warning], count[finding.Change])
	return err
}
