package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// allowedDayKeys are the fields that a day file of this repository may have: its length, its
// plan, its faults and how callers of a class retry, but nothing that identifies a deployment.
var allowedDayKeys = map[string]bool{
	"name": true, "length_s": true, "classes": true, "retries": true, "plan": true, "faults": true, "closing": true, "at": true, "kind": true, "for_s": true, "share": true, "count": true,
	"x": true, "gap_s": true, "how": true, "on": true, "class": true, "service": true, "zone": true, "down_s": true,
}

// dayField matches a field of a day file with its value.
var dayField = regexp.MustCompile(`([a-z_]+) = ("[^"]*"|\S)`)

// TestDayFilesAreIndependentOfDeployment guards against day files that work on one
// deployment only. They may contain a plan and faults, must refer to a class, a service or a
// zone by its index in the site's list, and must be documented for operators.
func TestDayFilesAreIndependentOfDeployment(t *testing.T) {
	files, err := filepath.Glob("../../deploy/days/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d days, %v", len(files), err)
	}
	page, err := os.ReadFile("../../docs/operations/platform.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		if !strings.Contains(string(data), `name = "`+name+`"`) || strings.Count(string(data), "[[day]]") != 1 {
			t.Errorf("%s must contain exactly one day, with the name of the file", file)
		}
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("%s is not documented on the operators' page", file)
		}
		for line := range strings.Lines(string(data)) {
			if strings.HasPrefix(line, "#") {
				continue
			}
			for _, field := range dayField.FindAllStringSubmatch(line, -1) {
				key, value := field[1], strings.Trim(field[2], `"`)
				namesClass := key == "name" && strings.HasPrefix(line, "classes = ")
				mustBeIndex := namesClass || key == "class" || key == "service" || key == "zone"
				if !allowedDayKeys[key] || mustBeIndex && !strings.HasPrefix(value, "@") {
					t.Errorf("%s: field is not allowed or names an object of a deployment: %s", file, field[0])
				}
			}
		}
	}
}
