package spelling

import "testing"

// TestNearestSuggestsOnlySimilarWords guards against a misspelt word without a suggestion and
// against a suggestion that has little in common with the word.
func TestNearestSuggestsOnlySimilarWords(t *testing.T) {
	known := []string{"soak", "standin", "status", "tree"}
	for unknown, want := range map[string]string{
		"staus": "status", "statuss": "status", "standing": "standin", "tre": "tree", "soap": "soak",
		"bogus": "", "": "", "s": "",
	} {
		if got := Nearest(unknown, known); got != want {
			t.Errorf("the nearest word to %q is %q, want %q", unknown, got, want)
		}
	}
	if got := Nearest("tree", nil); got != "" {
		t.Errorf("got suggestion %q from an empty list, want none", got)
	}
}
