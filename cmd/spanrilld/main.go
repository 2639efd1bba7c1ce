// Command spanrilld is the daemon that routes requests to inference engines and
// plain services.
//
// # Usage
//
//	spanrilld --settings spanrilld.json
//	spanrilld --settings spanrilld.json --check
package main

import (
	"os"

	"spanrill/cli/spanrilldcmd"
)

func main() { os.Exit(spanrilldcmd.Main()) }
