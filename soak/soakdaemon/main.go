// Command soakdaemon is spanrilld with connections to upstreams that a soak can cut.
//
// # Usage
//
//	SPANRILL_SOAK_LINK=127.0.0.1:4000 soakdaemon gateway --settings gateway.json
package main

import (
	"os"

	"spanrill/cli/spanrilldcmd"
	"spanrill/gateway"
	"spanrill/standin/faultproxy"
)

func main() {
	dial := faultproxy.NewRemoteLink(os.Getenv(faultproxy.RemoteLinkVariable)).DialContext
	os.Exit(spanrilldcmd.Main(gateway.WithUpstreamDial(dial)))
}
