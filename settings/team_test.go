package settings

import "testing"

// TestTeamOfReturnsClosestTeamWithModels guards against matching by string prefix: /dentals is not
// in the team /dental. A path without a team at or above it is returned as it is.
func TestTeamOfReturnsClosestTeamWithModels(t *testing.T) {
	snapshot := NewSnapshot(Stamp{}, []Model{{ID: "a", Path: "/dental/after-hours/a", Team: "/dental"}, {ID: "b", Path: "/b", Team: "/"}}, nil, nil)
	for path, wanted := range map[string]string{
		"/dental": "/dental", "/dental/after-hours": "/dental", "/claims/clerks": "/claims/clerks", "/": "/", "/dentals": "/dentals",
	} {
		if got := snapshot.TeamOf(path); got != wanted {
			t.Errorf("team of %s: %s, want %s", path, got, wanted)
		}
	}
}
