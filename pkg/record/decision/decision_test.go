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

// Guards against input fields that are lost in the JSON encoding, so that the replay decides on a different input than the
// recording process did.
func TestPlacementReplayMatchesRecording(t *testing.T) {
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

// recordPlacement makes one decision of each kind and records it.
func recordPlacement(c *config.Config, r *record.Recorder) {
	targets := placement.Targets(c, &c.Pools[0], "catania")
	initial := InitialInput{Pool: c.Pools[0].Name, Targets: targets, PerTarget: 4}
	initialSlices := placement.InitialSlices(initial.Pool, initial.Targets, initial.PerTarget)
	r.Record(InitialSlices, 1, initial, initialSlices)
	evacuation := EvacuateInput{Slices: initialSlices, Targets: append([]placement.Target(nil), targets...)}
	evacuation.Targets[0].Available = false
	r.Record(Evacuate, 2, evacuation, placement.Evacuate(evacuation.Slices, evacuation.Targets, false))
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
