package settings

import "testing"

func TestTeamOf(t *testing.T) {
	snapshot := NewSnapshot(Stamp{}, []Model{{ID: "a", Path: "/dental/after-hours/a", Team: "/dental"}, {ID: "b", Path: "/b", Team: "/"}}, nil, nil)
	for path, wanted := range map[string]string{
		"/dental": "/dental", "/dental/after-hours": "/dental", "/claims/clerks": "/claims/clerks", "/": "/", "/dentals": "/dentals",
	} {
		if got := snapshot.TeamOf(path); got != wanted {
			t.Errorf("team of %s: %s, want %s", path, got, wanted)
		}
	}
}
