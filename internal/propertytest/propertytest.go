package propertytest

import (
	"flag"
	"os"
	"testing"
)

// flagDefaults are the values of rapid's flags that the command line doesn't set.
var flagDefaults = []struct{ name, value string }{
	{"rapid.seed", "20260301"},
	{"rapid.nofailfile", "true"},
}

// Main runs the tests of a package with flagDefaults and exits. A package calls it in TestMain.
func Main(m *testing.M) {
	flag.Parse()
	setFlags := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	for _, flagDefault := range flagDefaults {
		if setFlags[flagDefault.name] {
			continue
		}
		if err := flag.Set(flagDefault.name, flagDefault.value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
