package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionText returns the version of the program, the commit that it was built from and
// the Go version.
func versionText() string {
	version, commit := "(devel)", "unknown"
	if build, known := debug.ReadBuildInfo(); known {
		if build.Main.Version != "" {
			version = build.Main.Version
		}
		for _, setting := range build.Settings {
			if setting.Key == "vcs.revision" {
				commit = setting.Value
			}
		}
	}
	return fmt.Sprintf("valveslip %s, commit %s, %s", version, commit, runtime.Version())
}
