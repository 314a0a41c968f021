package operator

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// WriteText writes a result for people.
func (r Result) WriteText(w io.Writer) {
	for _, f := range r.Findings {
		fmt.Fprintln(w, findingText(f))
	}
	if len(r.Changes) > 0 {
		fmt.Fprintln(w, "changes:")
		WriteChanges(w, r.Changes)
	}
	if len(r.Others) > 0 {
		fmt.Fprintln(w, "changed by others meanwhile:")
		WriteHistory(w, r.Others, true)
	}
	for _, cell := range r.Cells {
		fmt.Fprintf(w, "cell %s: %s\n", cell.Cell, inForceText(cell))
	}
	fmt.Fprintln(w, r.Message)
	if p := r.Pending; p != nil {
		fmt.Fprintf(w, "to find out:  blctl outcome %d %s %d\n", p.Version, p.Token, p.Expected)
		fmt.Fprintf(w, "to rule out:  blctl outcome %d %s %d --cancel\n", p.Version, p.Token, p.Expected)
	}
}

// findingText leaves out the place of a finding about what is stored.
func findingText(f finding.Finding) string {
	text := f.String()
	if f.Position == (finding.Position{}) {
		return strings.TrimPrefix(text, f.Position.String()+": ")
	}
	return text
}

func inForceText(cell CellState) string {
	if cell.InForce {
		return "in force"
	}
	return "not yet in force: " + cell.Reason
}

// maxValueText bounds a value in text output; a whole pool would fill the screen. JSON output is complete.
const maxValueText = 160

// WriteChanges writes one change per line.
func WriteChanges(w io.Writer, changes []config.Change) {
	for _, c := range changes {
		c.Old = shorten(c.Old)
		c.New = shorten(c.New)
		fmt.Fprintln(w, "  "+c.String())
	}
}

func shorten(value string) string {
	if len(value) <= maxValueText {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueText], "") + "..."
}

// WriteHistory writes changes, the newest first, with their details if wanted.
func WriteHistory(w io.Writer, changes []Change, details bool) {
	for _, c := range changes {
		fmt.Fprintf(w, "version %d (after %d) by %s at %s: %s\n", c.Version, c.Previous, c.By, c.At.Format("2006-01-02T15:04:05Z07:00"), orDash(c.Reason))
		if details {
			WriteChanges(w, c.Changes)
		}
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// WriteText writes an overview for people.
func (v Overview) WriteText(w io.Writer) {
	if v.StoreError != "" {
		fmt.Fprintf(w, "store: NOT REACHABLE: %s\n", v.StoreError)
	} else {
		fmt.Fprintf(w, "store: head names version %d\n", v.Version)
	}
	fmt.Fprintf(w, "out: domains %s, VMs %s, targets %s%s\n",
		listOrNone(v.Out.Domains), listOrNone(v.Out.VMs), listOrNone(v.Out.Targets), fromText(v.OutFrom))
	for _, c := range v.Cells {
		c.writeText(w, v.Version)
	}
}

func fromText(from string) string {
	if from == "" {
		return " (not known)"
	}
	return " (from " + from + ")"
}

func listOrNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, " ")
}

func (c CellOverview) writeText(w io.Writer, head uint64) {
	if c.Error != "" {
		fmt.Fprintf(w, "cell %s: %s\n", c.Cell, c.Error)
		return
	}
	fmt.Fprintf(w, "cell %s: leader %s, term %d, table %s, configuration %s%s\n",
		c.Cell, c.Leader, c.Term, orDash(c.TableVersion), versionText(c.ConfigVersion, head), storeText(c.StoreDown))
	fmt.Fprintf(w, "  groups %d, unheld %d%s; slices %d, without owner %d\n",
		c.Groups, len(c.GroupsUnheld), groupsText(c), c.Slices, c.SlicesUnowned)
	fmt.Fprintf(w, "  targets: %s\n", statesText(c.TargetsByState))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, m := range c.Members {
		fmt.Fprintf(table, "  router %s\t%s\t%s\tconfiguration %s\t%d groups\tlast heard %d ms ago%s\n",
			m.VM, m.Domain, m.Address, versionText(m.ConfigVersion, head), m.Groups, m.AgeMillis, leavingText(m.Leaving))
	}
	// The writer's error is the reader's going away.
	_ = table.Flush()
	for _, state := range troubledStates {
		c.writeTroubled(w, state)
	}
}

// troubledStates are listed by name, the worst first.
var troubledStates = []wire.TargetState{wire.TargetLost, wire.TargetSlow, wire.TargetDraining, wire.TargetCold}

// writeTroubled lists the targets in a state on one line.
func (c CellOverview) writeTroubled(w io.Writer, state wire.TargetState) {
	var names []string
	for _, t := range c.Troubled {
		switch {
		case t.State != state:
		case state == wire.TargetSlow:
			names = append(names, fmt.Sprintf("%s (%d us, %d queued)", t.Target, t.LatencyMicros, t.Queued))
		default:
			names = append(names, t.Target)
		}
	}
	if len(names) > 0 {
		fmt.Fprintf(w, "  %s: %s\n", state, strings.Join(names, " "))
	}
}

func versionText(version, head uint64) string {
	if version < head {
		return fmt.Sprintf("%d (BEHIND)", version)
	}
	return fmt.Sprint(version)
}

func storeText(down bool) string {
	if down {
		return ", STORE DOWN as seen by the controller"
	}
	return ""
}

func leavingText(leaving bool) string {
	if leaving {
		return ", leaving"
	}
	return ""
}

func groupsText(c CellOverview) string {
	if len(c.GroupsUnheld) == 0 {
		return ""
	}
	var names []string
	for _, g := range c.GroupsUnheld {
		names = append(names, string(g))
	}
	return " (" + strings.Join(names, " ") + ")"
}

func statesText(states map[string]int) string {
	order := []wire.TargetState{wire.TargetServing, wire.TargetCold, wire.TargetSlow, wire.TargetLost, wire.TargetDraining}
	var parts []string
	known := map[string]bool{}
	for _, s := range order {
		known[string(s)] = true
		parts = append(parts, fmt.Sprintf("%s %d", s, states[string(s)]))
	}
	var others []string
	for s, n := range states {
		if !known[s] {
			others = append(others, fmt.Sprintf("%s %d", s, n))
		}
	}
	slices.Sort(others)
	return strings.Join(append(parts, others...), ", ")
}

// WriteText writes an explanation for people. What is not known is left out.
func (e Explanation) WriteText(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(name, value string) {
		if value != "" {
			fmt.Fprintf(table, "%s\t%s\n", name, value)
		}
	}
	line("route", e.Route)
	line("pool", e.Pool)
	line("permitted regions", strings.Join(e.Regions, " "))
	line("key hash", e.Hash)
	line("cell", e.Cell)
	if e.Low != "" {
		line("slice", e.Low+" to "+e.High)
		line("slice epoch", fmt.Sprint(uint64(e.SliceEpoch)))
	}
	line("owner", e.Owner)
	line("successors", strings.Join(e.Successors, " "))
	if e.Group != "" {
		line("group", string(e.Group))
		line("group epoch", fmt.Sprint(uint64(e.GroupEpoch)))
	}
	line("gateway", strings.TrimSpace(e.Gateway+" "+e.Address))
	line("table", e.TableVersion)
	line("configuration", fmt.Sprintf("%d from %s", e.ConfigVersion, e.ConfigFrom))
	// The writer's error is the reader's going away.
	_ = table.Flush()
}
