package propertytest

import (
	"flag"
	"os"
	"testing"
)

// defaults of rapid's flags.
var defaults = []struct{ name, value string }{
	{"rapid.seed", "20260301"},
	{"rapid.nofailfile", "true"},
}

// Main is the body of a package's TestMain.
func Main(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for _, preset := range defaults {
		if given[preset.name] {
			continue
		}
		if err := flag.Set(preset.name, preset.value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
