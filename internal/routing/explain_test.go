package routing

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// The explanation names the chosen replica, counts the skipped ones by reason
// and names the best alternative.
func TestExplainReplica(t *testing.T) {
	is := is.New(t)
	v1 := config.Target{Model: "small", Version: "v1"}
	list := []Replica{
		{ID: "a", DataCentre: "x", Usable: true, Targets: []config.Target{v1}},
		{ID: "b", DataCentre: "y", Usable: true, Targets: []config.Target{v1}},
		{ID: "c", DataCentre: "x", Targets: []config.Target{v1}},
		{ID: "d", DataCentre: "x", Usable: true},
		{ID: "e", DataCentre: "x", Usable: true, Targets: []config.Target{v1}},
		{ID: "f", DataCentre: "z", Usable: true, Targets: []config.Target{v1}},
	}
	req := ReplicaRequest{Target: v1, DataCentre: "x", Excluded: []string{"e"}, InQuietHours: func(dc, _ string) bool { return dc == "z" }}
	is.Equal(ExplainReplica(list, req, ChooseReplica(list, req)),
		"replica a in x, estimated 0s; passed over: 1 unusable, 1 without the version, 1 tried before, 1 in quiet hours, 1 usable (the best is b, estimated 15ms)")
	is.Equal(ExplainReplica(nil, req, -1), "no replica")
}

// The explanation lists the versions in order and a reason for each skipped
// one.
func TestExplainVersions(t *testing.T) {
	is := is.New(t)
	v := func(version string) config.Target { return config.Target{Model: "small", Version: version} }
	rev := &config.Revision{Withdrawn: map[config.Target]config.Withdrawal{v("v2"): {}}, Config: &config.Config{
		Models: map[string]*config.Model{
			"small": {Default: "v1", Versions: map[string]*config.Version{"v1": {}, "v2": {}, "v3": {}}},
			"large": {Default: "v1", Versions: map[string]*config.Version{"v1": {}}},
		},
		Organisations: map[string]*config.Organisation{"a": {Allow: []config.Target{{Model: "small"}}}},
	}}
	plan := NewPlan(rev)
	req := VersionRequest{Organisation: "a", Asked: config.Target{Model: AnyModel}, Session: "s"}
	is.Equal(plan.Explain(req, plan.Versions(nil, req)),
		"versions in order: small@v1; passed over: large@v1 is not allowed, small@v2 is withdrawn, small@v3 is not in force for this session")
	req.Pin = v("v3")
	is.Equal(plan.Explain(req, plan.Versions(nil, req)),
		"versions in order: small@v3; passed over: large@v1 is not allowed, small@v1 is not the session's, small@v2 is withdrawn")
}
