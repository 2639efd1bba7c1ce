// Command spanrill is the operators' tool: it edits the configuration of a
// fleet, shows its status, analyses logs and runs benchmarks.
//
// # Usage
//
//	spanrill --platform 10.0.9.1:7000 get template
//	spanrill --help
package main

import (
	"os"

	"spanrill/cli/spanrillcmd"
)

func main() { os.Exit(spanrillcmd.Main()) }
