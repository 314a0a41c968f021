package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/logstory"
	"github.com/bronzelever/bronzelever/pkg/operator"
	"github.com/bronzelever/bronzelever/pkg/store"
)

type validateCommand struct {
	File string `arg:"" help:"Configuration file." predictor:"file"`
}

// Run prints all findings.
func (c *validateCommand) Run(e *environment) error {
	_, findings, err := e.readConfig(c.File)
	if err != nil {
		return err
	}
	if len(findings) == 0 && !e.json {
		fmt.Fprintln(e.stdout, "no findings")
		return nil
	}
	return e.report(findings)
}

type diffCommand struct {
	File string `arg:"" help:"Configuration file." predictor:"file"`
}

// Run compares the file with the configuration that the head names. What is out of service counts only if the file says
// something about it, as in apply.
func (c *diffCommand) Run(e *environment) error {
	proposed, _, err := e.readConfig(c.File)
	if err != nil {
		return err
	}
	o, err := e.operator()
	if err != nil {
		return err
	}
	state, err := o.Current(e.ctx)
	if err != nil {
		return err
	}
	next := operator.KeepOut(state.Config, proposed)
	changes := config.Diff(state.Config, next)
	value := struct {
		Version uint64          `json:"version"`
		Changes []config.Change `json:"changes"`
	}{state.Head.Version, changes}
	err = e.print(value, func(w io.Writer) {
		fmt.Fprintf(w, "version %d is in force; %d differences\n", state.Head.Version, len(changes))
		operator.WriteChanges(w, changes)
	})
	if err == nil && len(changes) > 0 {
		return &exitError{code: exitDifferent}
	}
	return err
}

// changeFlags are common to commands that change the configuration.
type changeFlags struct {
	Seen   uint64 `help:"Version that the change is based on; nothing is stored if another one is in force."`
	Reason string `help:"Reason for the history."`
	NoWait bool   `help:"Return once the change is stored, without waiting until it is in force."`
}

func (f changeFlags) options() operator.ApplyOptions {
	return operator.ApplyOptions{Seen: f.Seen, Reason: f.Reason, NoWait: f.NoWait}
}

type applyCommand struct {
	changeFlags
	File       string `arg:"" help:"Configuration file." predictor:"file"`
	ReplaceOut bool   `help:"Take from the file what is out of service, instead of keeping it."`
}

// Run applies the file.
func (c *applyCommand) Run(e *environment) error {
	proposed, warnings, err := e.readConfig(c.File)
	if err != nil {
		return err
	}
	o, err := e.operator()
	if err != nil {
		return err
	}
	options := c.options()
	options.ReplaceOut = c.ReplaceOut
	result := o.Apply(e.ctx, proposed, options)
	if len(result.Findings) == 0 {
		result.Findings = warnings
	}
	return e.finish(result)
}

type outcomeCommand struct {
	Version  uint64 `arg:"" help:"Version of the pending write."`
	Token    string `arg:"" help:"Token of the pending write."`
	Revision uint64 `arg:"" help:"Revision of the head that the write expects."`
	Cancel   bool   `help:"Rule the write out if it has not taken effect so far."`
}

// Run resolves a pending write.
func (c *outcomeCommand) Run(e *environment) error {
	o, err := e.operator()
	if err != nil {
		return err
	}
	p := operator.PendingWrite{Version: c.Version, Token: c.Token, Expected: store.Revision(c.Revision)}
	return e.finish(o.Resolve(e.ctx, p, c.Cancel))
}

type historyCommand struct {
	Limit   int  `short:"n" default:"20" help:"Number of changes."`
	Details bool `help:"List what each change changed."`
}

// Run lists the last changes.
func (c *historyCommand) Run(e *environment) error {
	o, err := e.operator()
	if err != nil {
		return err
	}
	changes, err := o.History(e.ctx, c.Limit)
	if err != nil {
		return err
	}
	return e.print(changes, func(w io.Writer) { operator.WriteHistory(w, changes, c.Details) })
}

// subject names what is taken out or returned.
type subject struct {
	Kind string `arg:"" enum:"domain,vm,target" help:"domain, vm or target."`
	Name string `arg:"" help:"Its name."`
}

type outCommand struct {
	changeFlags
	subject
}

// Run takes something out of service.
func (c *outCommand) Run(e *environment) error {
	o, err := e.operator()
	if err != nil {
		return err
	}
	return e.finish(o.Out(e.ctx, operator.Kind(c.Kind), c.Name, c.options()))
}

type inCommand struct {
	changeFlags
	subject
}

// Run returns something to service.
func (c *inCommand) Run(e *environment) error {
	o, err := e.operator()
	if err != nil {
		return err
	}
	return e.finish(o.In(e.ctx, operator.Kind(c.Kind), c.Name, c.options()))
}

type statusCommand struct{}

// Run prints the overview. It ends with an error code if the store or a cell didn't answer.
func (c *statusCommand) Run(e *environment) error {
	o, err := e.operator()
	if err != nil {
		return err
	}
	overview := o.Status(e.ctx)
	if err := e.print(overview, overview.WriteText); err != nil {
		return err
	}
	if !overview.Complete() {
		return &exitError{code: exitFailed}
	}
	return nil
}

type confirmLostCommand struct {
	Cell string `arg:"" help:"Cell that lost more than half of its routers."`
	Yes  bool   `required:"" help:"The silent routers are stopped for certain. A router that still runs makes a second owner of its keys."`
}

// Run records the confirmation for the present term.
func (c *confirmLostCommand) Run(e *environment) error {
	o, err := e.operator()
	if err != nil {
		return err
	}
	confirmation, err := o.ConfirmLost(e.ctx, c.Cell)
	if err != nil {
		return err
	}
	return e.print(confirmation, func(w io.Writer) {
		fmt.Fprintf(w, "confirmed for cell %s, term %d\n", c.Cell, confirmation.Term)
	})
}

type explainCommand struct {
	Route   string   `arg:"" optional:"" help:"Route of a keyed pool."`
	Key     string   `arg:"" optional:"" help:"Key. It is hashed here and not sent."`
	Tenant  string   `help:"Tenant that sends the request."`
	Request string   `help:"ID of a request to explain from logs instead." placeholder:"ID"`
	Log     []string `help:"Log file of a VM, with --request; may be repeated." placeholder:"FILE" type:"existingfile" predictor:"file"`
}

// Validate implements kong.Validatable.
func (c *explainCommand) Validate() error {
	switch {
	case c.Request != "" && (c.Route != "" || len(c.Log) == 0):
		return errors.New("--request takes log files (--log FILE) and no route")
	case c.Request == "" && (c.Key == "" || len(c.Log) > 0):
		return errors.New("give a route and a key, or --request and --log")
	}
	return nil
}

// Run prints as much as is known, also if an error ends the search.
func (c *explainCommand) Run(e *environment) error {
	if c.Request != "" {
		return c.explainRequest(e)
	}
	o, err := e.operator()
	if err != nil {
		return err
	}
	explanation, failure := o.Explain(e.ctx, operator.Question{Route: c.Route, Key: c.Key, Tenant: c.Tenant})
	if err := e.print(explanation, explanation.WriteText); err != nil {
		return err
	}
	return failure
}

func (c *explainCommand) explainRequest(e *environment) error {
	var story logstory.Story
	for _, name := range c.Log {
		if err := readLog(&story, name, c.Request); err != nil {
			return &exitError{exitFailed, err}
		}
	}
	if len(story.Lines)+len(story.Unreadable) == 0 {
		return &exitError{exitFailed, fmt.Errorf("no line of the logs names the request %s", c.Request)}
	}
	return e.print(&story, story.WriteText)
}

func readLog(story *logstory.Story, name, request string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return story.Read(name, f, request)
}

type dumpCommand struct {
	Address string `arg:"" help:"Admin address of the process, host:port."`
}

// Run prints the dump as the process sends it.
func (c *dumpCommand) Run(e *environment) error {
	body, err := operator.Dump(e.ctx, c.Address)
	if err != nil {
		return err
	}
	_, err = e.stdout.Write(body)
	return err
}
