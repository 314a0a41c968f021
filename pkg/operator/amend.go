package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/bronzelever/bronzelever/pkg/check"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/finding"
)

// maxAmendAttempts bounds the repetitions after lost races. Amendments of different things don't exclude each other.
const maxAmendAttempts = 10

// Kind is what can be taken out of service.
type Kind string

const (
	// FailureDomain takes out all targets and VMs of a failure domain.
	FailureDomain Kind = "domain"
	// VM takes out one VM.
	VM Kind = "vm"
	// Target takes out one target.
	Target Kind = "target"
)

// Out takes something out of service.
func (o *Operator) Out(ctx context.Context, kind Kind, name string, options ApplyOptions) Result {
	return o.amend(ctx, options, func(c *config.Config) finding.List {
		list, findings := outList(c, kind, name)
		if len(findings) == 0 && !slices.Contains(*list, name) {
			*list = append(*list, name)
			slices.Sort(*list)
		}
		return findings
	})
}

// In returns something to service.
func (o *Operator) In(ctx context.Context, kind Kind, name string, options ApplyOptions) Result {
	return o.amend(ctx, options, func(c *config.Config) finding.List {
		list, findings := outList(c, kind, name)
		if len(findings) == 0 {
			*list = slices.DeleteFunc(*list, func(other string) bool { return other == name })
		}
		return findings
	})
}

// outList returns the list for a kind, or a finding if the name is unknown.
func outList(c *config.Config, kind Kind, name string) (*[]string, finding.List) {
	switch kind {
	case FailureDomain:
		if c.RegionOf(name) == "" {
			return nil, unknown("out.failure_domains", kind, name)
		}
		return &c.Out.Domains, nil
	case VM:
		if !check.ValidName(name) {
			return nil, unknown("out.vms", kind, name)
		}
		return &c.Out.VMs, nil
	case Target:
		if !hasTarget(c, name) {
			return nil, unknown("out.targets", kind, name)
		}
		return &c.Out.Targets, nil
	}
	return nil, finding.List{{Path: "out", Message: fmt.Sprintf("unknown kind %q", kind), Allowed: "domain, vm, target"}}
}

func hasTarget(c *config.Config, id string) bool {
	return slices.ContainsFunc(c.Pools, func(p config.Pool) bool {
		return slices.ContainsFunc(p.Targets, func(t config.Target) bool { return t.ID == id })
	})
}

func unknown(path string, kind Kind, name string) finding.List {
	return finding.List{{Path: path, Message: fmt.Sprintf("unknown %s %q", kind, name), Allowed: "a name of the configuration in force"}}
}

// amend changes the configuration in force. After a lost race it starts again from the new one, unless the caller named
// the version it has seen; Result.Others then lists what the others have changed.
func (o *Operator) amend(ctx context.Context, options ApplyOptions, change func(*config.Config) finding.List) Result {
	var others []Change
	var result Result
	for range maxAmendAttempts {
		result = o.amendOnce(ctx, options, change)
		others = append(others, result.Others...)
		if result.Outcome != Conflict || options.Seen != 0 {
			break
		}
	}
	result.Others = others
	return result
}

func (o *Operator) amendOnce(ctx context.Context, options ApplyOptions, change func(*config.Config) finding.List) Result {
	base, err := o.Current(ctx)
	if err != nil {
		return o.refused(err)
	}
	if base.Config == nil {
		return o.refused(errors.New("no configuration has been applied yet"))
	}
	if options.Seen != 0 && options.Seen != base.Head.Version {
		return o.conflict(ctx, options.Seen, base.Head.Version)
	}
	next := base.Config.Clone()
	findings := change(next)
	if len(findings) == 0 {
		findings = next.Validate()
	}
	if findings.Err() != nil {
		return Result{Outcome: Invalid, Message: "nothing was stored", Findings: findings}
	}
	result := o.publish(ctx, base, next, options)
	result.Findings = aboutOut(findings)
	return result
}

// aboutOut leaves out the warnings that the amendment has nothing to do with.
func aboutOut(findings finding.List) finding.List {
	var about finding.List
	for _, f := range findings {
		if f.Path == "out" || strings.HasPrefix(f.Path, "out.") {
			about.Add(f)
		}
	}
	return about
}
