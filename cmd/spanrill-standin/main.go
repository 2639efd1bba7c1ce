// Command spanrill-standin runs stand-ins for the systems around spanrill, for
// trials and tests.
//
// # Usage
//
//	spanrill-standin platform --listen 127.0.0.1:7000 --boxes boxes.json
package main

import (
	"os"

	"spanrill/cli/standincmd"
)

func main() { os.Exit(standincmd.Main()) }
