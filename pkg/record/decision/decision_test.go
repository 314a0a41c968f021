package decision

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/record"
)

// Guards against inputs that lose fields in JSON, so that the replay decides on something else than the process did.
func TestPlacementReplaysAsDecided(t *testing.T) {
	data, err := os.ReadFile("../../../examples/nastri-caruso/config.json")
	if err != nil {
		t.Fatal(err)
	}
	c, findings := config.Parse(data, "config.json")
	if findings.Err() != nil {
		t.Fatal(findings)
	}
	path := filepath.Join(t.TempDir(), "decisions")
	r, err := record.Open(path, record.DefaultMaxBytes)
	if err != nil {
		t.Fatal(err)
	}
	recordPlacement(c, r)
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	recorded, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	report, err := record.Replay(bytes.NewReader(recorded), Registry())
	if err != nil || report.Lines != len(Registry().Kinds()) || report.Equal != report.Lines {
		t.Errorf("%+v %v", report, err)
	}
}

// recordPlacement makes and records one decision of each kind.
func recordPlacement(c *config.Config, r *record.Recorder) {
	targets := placement.Targets(c, &c.Pools[0], "catania")
	initial := InitialInput{Pool: c.Pools[0].Name, Targets: targets, PerTarget: 4}
	all := placement.InitialSlices(initial.Pool, initial.Targets, initial.PerTarget)
	r.Record(InitialSlices, 1, initial, all)
	lost := EvacuateInput{Slices: all, Targets: append([]placement.Target(nil), targets...)}
	lost.Targets[0].Available = false
	r.Record(Evacuate, 2, lost, placement.Evacuate(lost.Slices, lost.Targets, false))
	groups := GroupsInput{Routers: []placement.Router{{VM: "vm-1", Domain: "catania-a"}, {VM: "vm-2", Domain: "catania-b", Out: true}}}
	for _, g := range placement.Groups(c, "catania") {
		groups.Groups = append(groups.Groups, placement.GroupLoad{ID: g.ID, Keyed: g.ID.Pool() == c.Pools[0].Name})
	}
	r.Record(AssignGroups, 3, groups, placement.AssignGroups(groups.Groups, groups.Routers))
	for i := range groups.Groups {
		groups.Groups[i].Gateway = "vm-2"
	}
	move, found := placement.RebalanceGroup(groups.Groups, groups.Routers)
	r.Record(RebalanceGroup, 4, groups, RebalanceDecision{Move: move, Found: found})
}
