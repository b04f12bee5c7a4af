package settings

import (
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
)

// readTree parses a YAML file of testdata.
func readTree(t *testing.T, name string) *Tree {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	tree, err := ParseYAML(data)
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// TestPoliciesAreInheritedWithTheirSources guards against values that are not inherited from the
// closest level that sets them, or that are attributed to another level.
func TestPoliciesAreInheritedWithTheirSources(t *testing.T) {
	snapshot, err := readTree(t, "dental.yaml").Compile(Stamp{Revision: 7})
	if err != nil {
		t.Fatal(err)
	}
	recall := snapshot.Model("recall-letters")
	if recall.Base != "shared-7b" || recall.Team != "/dental/after-hours" {
		t.Fatalf("recall-letters: base %s, team %s", recall.Base, recall.Team)
	}
	for key, want := range map[string][2]string{
		"keep_alive":        {`"10m"`, "/dental/after-hours"},
		"cold_start_weight": {"0.8", "/"},
		"max_replicas":      {"2", "/dental"},
		"memory":            {`"512MiB"`, "/dental/after-hours/recall-letters"},
		"priority":          {"0", SourceDefault},
	} {
		if value, _ := recall.Policy.Get(key); string(value) != want[0] || recall.Sources[key] != want[1] {
			t.Errorf("%s: %s from %s, want %s from %s", key, value, recall.Sources[key], want[0], want[1])
		}
	}
	if base := snapshot.Model("checkups").Base; base != "parents-13b" {
		t.Errorf("base of checkups is %q, want the model above", base)
	}
	if zones := snapshot.Model("parents-13b").Policy.Zones; !reflect.DeepEqual(zones, []cluster.ZoneID{"east", "west"}) {
		t.Errorf("zones %v", zones)
	}
	want := map[string]Scope{"/dental/after-hours": {Path: "/dental/after-hours", MaxConcurrency: 20, RequestsPerSecond: 1.5}}
	if !reflect.DeepEqual(snapshot.Scopes, want) {
		t.Errorf("scopes %v, want %v", snapshot.Scopes, want)
	}
	token := snapshot.Token("60303ae22b998861bce3b28f33eec1be758a213c86c93c076dbe9f558c11c752")
	if token == nil || token.Path != "/dental/after-hours" || !token.NotAfter.Equal(time.Date(2027, 6, 30, 0, 0, 0, 0, time.UTC)) {
		t.Errorf("token %+v", token)
	}
}

// TestParseYAMLReportsAllErrorsAtOnce guards against a parser that stops at the first error, so
// that operators would find the others one at a time.
func TestParseYAMLReportsAllErrorsAtOnce(t *testing.T) {
	data, err := os.ReadFile("testdata/wrong.yaml")
	if err != nil {
		t.Fatal(err)
	}
	_, err = ParseYAML(data)
	if err == nil {
		t.Fatal("an invalid tree was accepted")
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "wrong", []byte(err.Error()+"\n"))
}

// TestCompileReportsAllInconsistencies guards against trees whose levels are valid on their own
// but contradict each other, such as a minimum above an inherited maximum.
func TestCompileReportsAllInconsistencies(t *testing.T) {
	data, err := os.ReadFile("testdata/unfitting.yaml")
	if err != nil {
		t.Fatal(err)
	}
	_, err = ParseYAML(data)
	if err == nil {
		t.Fatal("an inconsistent tree was accepted")
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "unfitting", []byte(err.Error()+"\n"))
}

// TestParseYAMLFilesMergesLevelsAndRejectsContradictions guards against files that silently
// override each other.
func TestParseYAMLFilesMergesLevelsAndRejectsContradictions(t *testing.T) {
	files := []File{
		{Name: "base.yaml", Data: []byte("children: {dental: {kind: team, children: {base: {kind: model}}}}")},
		{Name: "letters.yaml", Data: []byte("children: {dental: {priority: 2, children: {letters: {kind: adapter, base: base}}}}")},
	}
	tree, err := ParseYAMLFiles(files)
	if err != nil || tree.Len() != 4 || tree.Level("/dental").Values["priority"] != "2" {
		t.Fatalf("read %v: %v", tree, err)
	}
	files = append(files, File{Name: "more.yaml", Data: []byte("children:\n  dental:\n    kind: service\n    priority: 3\n  claims: {}\n")})
	_, err = ParseYAMLFiles(files)
	if err == nil {
		t.Fatal("files that contradict each other were accepted")
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "files", []byte(err.Error()+"\n"))
}

// TestFragmentChangesOnlyNamedLevelsUnlessPruning guards against a fragment that removes levels
// without prune, and against one that causes changes again after it was applied.
func TestFragmentChangesOnlyNamedLevelsUnlessPruning(t *testing.T) {
	tree := readTree(t, "dental.yaml")
	fragment, err := ParseFragment("/dental", []File{{Name: "f.yaml", Data: []byte("children: {after-hours: {priority: 2}, night: {kind: team}}")}})
	if err != nil {
		t.Fatal(err)
	}
	for prune, want := range map[bool]int{false: 2, true: 7} {
		changes, err := fragment.Changes(tree, prune)
		if err != nil || len(changes) != want {
			t.Errorf("prune %v: %+v, %v", prune, changes, err)
		}
		after, err := tree.Apply(Edit{Changes: changes})
		if err != nil || after.Level("/dental/night") == nil || (after.Level("/dental/clinics") == nil) != prune {
			t.Fatalf("prune %v: wrong levels %v, error %v", prune, after.Paths(), err)
		}
		if again, _ := fragment.Changes(after, prune); len(again) != 0 {
			t.Errorf("prune %v: applying again would change %+v", prune, again)
		}
	}
	if _, err := fragment.Changes(EmptyTree(), false); err == nil {
		t.Error("a new level without a kind was accepted")
	}
}

// TestParseValueAcceptsCommandLineForms checks the forms accepted on a command line and their
// canonical values. An empty value means that the input must be refused.
func TestParseValueAcceptsCommandLineForms(t *testing.T) {
	for typed, want := range map[[2]string]Value{
		{"keep_alive", "90m"}: `"1h30m"`, {"memory", "16GiB"}: `"16GiB"`, {"zones", "b,a"}: `["a","b"]`, {"zones", ""}: `[]`,
		{"requests_per_second", "90/m"}: "1.5", {"requests_per_second", "2"}: "2", {"version", "2"}: `"2"`,
		{"repeatable", "true"}: "true", {"max_replicas", "3"}: "3", {KeyBase, "m"}: `"m"`,
		{"max_replicas", "three"}: "", {"keep_alive", "3"}: "", {"max_replica", "3"}: "",
	} {
		got, err := ParseValue(typed[0], typed[1])
		if got != want && want != "" || (err == nil) != (want != "") {
			t.Errorf("%s=%s: %s, %v; want %s", typed[0], typed[1], got, err, want)
		}
	}
}

// TestUnknownKeysAreKeptOnDecodeAndRejectedInEdits guards against a rolling upgrade in which older
// versions drop the keys of newer ones, and against misspelt keys in operators' edits.
func TestUnknownKeysAreKeptOnDecodeAndRejectedInEdits(t *testing.T) {
	data := []byte(`{"levels":[{"path":"/","kind":"organization","values":{"future_key":{"b":1,"a":[2]}}},{"path":"/x","kind":"galaxy"}]}`)
	tree, err := DecodeTree(data)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tree.Compile(Stamp{}); err != nil {
		t.Fatalf("unknown keys must not stop a node: %v", err)
	}
	want := `{"levels":[{"path":"/","kind":"organization","values":{"future_key":{"a":[2],"b":1}}},{"path":"/x","kind":"galaxy"}]}`
	if got := string(tree.Encode()); got != want {
		t.Fatalf("encoded %s", got)
	}
	edit := Edit{ID: "e", Changes: []Change{{Path: "/", Set: map[string]Value{"future_key": "1"}}}}
	if _, _, err := tree.Validate(edit); err == nil {
		t.Fatal("an operator's edit with an unknown key was accepted")
	}
	after, err := tree.Apply(edit)
	if err != nil || after.Level("/").Values["future_key"] != "1" {
		t.Fatalf("a newer version's edit was not replayed: %v", err)
	}
}

// drawTree draws a tree by applying random edits and keeping those that yield a valid tree.
func drawTree(t *rapid.T) *Tree {
	tree := EmptyTree()
	for range rapid.IntRange(0, 12).Draw(t, "edits") {
		if next, err := tree.Apply(Edit{Changes: []Change{drawChange(t, tree)}}); err == nil {
			if _, err := next.Compile(Stamp{}); err == nil {
				tree = next
			}
		}
	}
	return tree
}

// drawChange draws a change of one level, which may be invalid for the tree.
func drawChange(t *rapid.T, tree *Tree) Change {
	path := rapid.SampledFrom(tree.Paths()).Draw(t, "path")
	change := Change{Path: path}
	switch rapid.IntRange(0, 5).Draw(t, "action") {
	case 0:
		change.Delete = true
	case 1, 2, 3:
		change.Path = joinPath(path, rapid.StringMatching(`[a-d]{1,2}`).Draw(t, "name"))
		change.Create = rapid.SampledFrom([]Kind{KindTeam, KindService, KindModel, KindModel, KindAdapter}).Draw(t, "kind")
	case 4:
		change.Unset = []string{rapid.SampledFrom(keys).Draw(t, "key").Name}
	default:
		change.PutTokens = []AccessToken{{Name: rapid.StringMatching(`[a-c]`).Draw(t, "token"), SHA256: rapid.StringMatching(`[0-9a-f]{64}`).Draw(t, "hash"), Role: RoleCall}}
	}
	if !change.Delete && rapid.Bool().Draw(t, "sets") {
		change.Set = map[string]Value{"priority": encodeValue(rapid.IntRange(-9, 9).Draw(t, "priority"))}
		if rapid.Bool().Draw(t, "pool") {
			change.Set["engine_pool"] = encodeValue(rapid.StringMatching(`[a-z]{1,5}`).Draw(t, "pool name"))
		}
	}
	return change
}

// TestTreeSurvivesEncodeAndDecode guards against an encoding that loses content or is not
// canonical.
func TestTreeSurvivesEncodeAndDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		decoded, err := DecodeTree(tree.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if decoded.Digest() != tree.Digest() || string(decoded.Encode()) != string(tree.Encode()) {
			t.Fatalf("decoded tree differs: %s and %s", decoded.Encode(), tree.Encode())
		}
	})
}

// TestTreeSurvivesYAMLRoundTrip guards against written YAML that parses to a different tree.
func TestTreeSurvivesYAMLRoundTrip(t *testing.T) {
	check := func(t rapid.TB, tree *Tree) {
		data, err := tree.EncodeYAML(RootPath)
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := ParseYAML(data)
		if err != nil || parsed.Digest() != tree.Digest() {
			t.Fatalf("the tree differs after encoding and parsing: %v\n%s", err, data)
		}
	}
	check(t, readTree(t, "dental.yaml"))
	rapid.Check(t, func(t *rapid.T) { check(t, drawTree(t)) })
}

// TestDiffTurnsOneTreeIntoTheOther guards against a diff that misses changes or cannot be applied
// in its order.
func TestDiffTurnsOneTreeIntoTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawTree(t), drawTree(t)
		changed, err := before.Apply(Edit{Changes: after.Diff(before)})
		if err != nil {
			t.Fatal(err)
		}
		if changed.Digest() != after.Digest() || len(after.Diff(changed)) != 0 {
			t.Fatalf("the diff yields %s, want %s", changed.Encode(), after.Encode())
		}
	})
}

// TestEffectiveValueComesFromClosestLevelThatSetsIt compares the compiled policies of random trees
// with a search from the root to the model.
func TestEffectiveValueComesFromClosestLevelThatSetsIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		snapshot, err := tree.Compile(Stamp{})
		if err != nil {
			t.Fatal(err)
		}
		for i := range snapshot.Models {
			model := &snapshot.Models[i]
			for _, key := range keys {
				source, want := SourceDefault, key.Default
				for _, path := range pathsFromRoot(model.Path) {
					if value, set := tree.Level(path).Values[key.Name]; set {
						source, want = path, value
					}
				}
				if got, _ := model.Policy.Get(key.Name); got != want || model.Sources[key.Name] != source {
					t.Fatalf("%s of %s: %s from %s, want %s from %s", key.Name, model.Path, got, model.Sources[key.Name], want, source)
				}
			}
		}
	})
}

// FuzzParseYAML checks that no input makes the parser panic, and that an accepted tree keeps its
// content when it is encoded and decoded.
func FuzzParseYAML(f *testing.F) {
	for _, name := range []string{"dental.yaml", "wrong.yaml", "unfitting.yaml"} {
		data, err := os.ReadFile("testdata/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := ParseYAML(data)
		if err != nil {
			return
		}
		decoded, err := DecodeTree(tree.Encode())
		if err != nil || decoded.Digest() != tree.Digest() {
			t.Fatalf("accepted tree differs after encoding and decoding: %v", err)
		}
	})
}

// FuzzDecodeTree checks that no input makes the decoder panic, and that a decoded tree keeps its
// content when it is encoded and decoded again.
func FuzzDecodeTree(f *testing.F) {
	f.Add(EmptyTree().Encode())
	f.Add([]byte(`{"levels":[{"path":"/","kind":"x","values":{"a":null,"b":1e999},"tokens":[{"name":"a"},{"name":"a"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := DecodeTree(data)
		if err != nil {
			return
		}
		again, err := DecodeTree(tree.Encode())
		if err != nil || again.Digest() != tree.Digest() {
			t.Fatalf("decoded tree differs after encoding and decoding again: %v", err)
		}
	})
}
