package operator

import (
	"context"
	"sync"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Overview is the state of the installation at a glance.
type Overview struct {
	// Version is the version that the store's head names; 0 if unknown.
	Version uint64 `json:"version"`
	// StoreError is empty if the store answered.
	StoreError string     `json:"store_error,omitempty"`
	Out        config.Out `json:"out"`
	// OutFrom tells where Out was read.
	OutFrom string         `json:"out_from,omitempty"`
	Cells   []CellOverview `json:"cells"`
}

// CellOverview is the state of one cell, as its active controller sees it.
type CellOverview struct {
	Cell string `json:"cell"`
	// Error is set if no active controller answered; the other fields are empty then.
	Error         string           `json:"error,omitempty"`
	Leader        string           `json:"leader"`
	Term          uint64           `json:"term"`
	ConfigVersion uint64           `json:"config_version"`
	StoreDown     bool             `json:"store_down"`
	Members       []MemberOverview `json:"members"`
	// Groups and Slices are totals; the lists name those that nobody serves.
	Groups         int                `json:"groups"`
	GroupsUnheld   []topology.GroupID `json:"groups_unheld"`
	Slices         int                `json:"slices"`
	SlicesUnowned  int                `json:"slices_unowned"`
	TableVersion   string             `json:"table_version"`
	TargetsByState map[string]int     `json:"targets_by_state"`
	// Troubled are the targets that don't serve normally.
	Troubled []wire.TargetReport `json:"troubled"`
}

// MemberOverview is a router.
type MemberOverview struct {
	VM            string `json:"vm"`
	Domain        string `json:"failure_domain"`
	Address       string `json:"address"`
	ConfigVersion uint64 `json:"config_version"`
	AgeMillis     int64  `json:"age_ms"`
	Leaving       bool   `json:"leaving"`
	Groups        int    `json:"groups"`
}

// Complete tells whether the store and every cell answered.
func (v Overview) Complete() bool {
	complete := v.StoreError == ""
	for _, c := range v.Cells {
		complete = complete && c.Error == ""
	}
	return complete
}

// Status asks store and controllers. It answers also while the store or a cell is unreachable.
func (o *Operator) Status(ctx context.Context) Overview {
	overview := Overview{Cells: make([]CellOverview, len(o.o.Cells))}
	var wait sync.WaitGroup
	for i, cell := range o.o.Cells {
		wait.Go(func() {
			overview.Cells[i] = o.cellOverview(ctx, cell)
		})
	}
	c, from, err := o.knownConfig(ctx)
	if err != nil {
		overview.StoreError = err.Error()
	}
	if c != nil {
		overview.Out = c.Out
		overview.OutFrom = from
	}
	if from == fromStore {
		overview.Version = c.Version
	}
	wait.Wait()
	return overview
}

func (o *Operator) cellOverview(ctx context.Context, cell Cell) CellOverview {
	status, err := o.active(ctx, cell)
	if err != nil {
		return CellOverview{Cell: cell.Name, Error: err.Error()}
	}
	c := CellOverview{
		Cell:           cell.Name,
		Leader:         status.Leader,
		Term:           status.Term,
		ConfigVersion:  status.ConfigVersion,
		StoreDown:      status.StoreDown,
		TargetsByState: map[string]int{},
	}
	held := c.addTable(status.Table)
	for _, m := range status.Members {
		c.Members = append(c.Members, memberOverview(m, held[m.Member.VM]))
		c.addTargets(m.Targets)
	}
	return c
}

func memberOverview(m wire.MemberStatus, groups int) MemberOverview {
	return MemberOverview{
		VM:            m.Member.VM,
		Domain:        m.Member.Domain,
		Address:       m.Member.Address,
		ConfigVersion: m.ConfigVersion,
		AgeMillis:     m.AgeMillis,
		Leaving:       m.Leaving,
		Groups:        groups,
	}
}

// addTable returns the number of groups per gateway.
func (c *CellOverview) addTable(table *topology.Table) map[string]int {
	held := map[string]int{}
	if table == nil {
		return held
	}
	c.TableVersion = table.Version.String()
	c.Groups = len(table.Groups)
	for _, g := range table.Groups {
		if g.Gateway == "" {
			c.GroupsUnheld = append(c.GroupsUnheld, g.ID)
			continue
		}
		held[g.Gateway]++
	}
	c.Slices = len(table.Slices)
	for _, s := range table.Slices {
		if s.Owner == "" {
			c.SlicesUnowned++
		}
	}
	return held
}

func (c *CellOverview) addTargets(reports []wire.TargetReport) {
	for _, r := range reports {
		c.TargetsByState[string(r.State)]++
		if r.State != wire.TargetServing {
			c.Troubled = append(c.Troubled, r)
		}
	}
}
