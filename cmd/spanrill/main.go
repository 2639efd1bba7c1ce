// Command spanrill is the tool of spanrill's operators.
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
