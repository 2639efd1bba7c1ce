package faultproxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill/standin/web"
)

// RemoteLinkVariable is the environment variable that tells a process the address of its link.
const RemoteLinkVariable = "SPANRILL_SOAK_LINK"

// linkPath is the path at which ListenControl answers with the address of the proxy to a target.
const linkPath = "/proxy"

// resolveLimit is how long a remote process waits for an answer while its link hangs.
const resolveLimit = 10 * time.Second

// ListenControl serves the link to another process on addr, for a RemoteLink, and returns the address
// that it is bound to.
func (l *Link) ListenControl(addr string) (string, error) {
	server := web.New(func(ctx *fasthttp.RequestCtx) {
		wait, cancel := context.WithTimeout(context.Background(), resolveLimit)
		defer cancel()
		proxy, err := l.resolve(wait, "tcp", string(ctx.QueryArgs().Peek("target")))
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusGone)
			return
		}
		ctx.SetBodyString(proxy)
	})
	return server.Listen(addr)
}

// RemoteLink is the side of a Link in the process whose connections it carries.
type RemoteLink struct {
	control string
	client  *http.Client
}

// NewRemoteLink returns the link whose control address is given.
func NewRemoteLink(control string) *RemoteLink {
	return &RemoteLink{control: control, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// DialContext opens a connection to a target unless the path to it is cut.
func (r *RemoteLink) DialContext(ctx context.Context, network, target string) (net.Conn, error) {
	query := url.Values{"target": {target}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.control+linkPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, fmt.Errorf("ask the link: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask the link: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	proxy, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("ask the link: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.WithMessage(syscall.ECONNREFUSED, string(proxy))
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, string(proxy))
	if err != nil {
		return nil, fmt.Errorf("connect to the proxy: %w", err)
	}
	return conn, nil
}
