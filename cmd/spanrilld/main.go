// Command spanrilld is the spanrill router.
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
