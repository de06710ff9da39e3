// Relay is a plain fasthttp relay, the baseline for the latency that a node adds. It
// forwards each request to one address, and responds with status 502 when that fails.
//
// # Usage
//
//	relay --address 127.0.0.1:9002 --to 127.0.0.1:9003
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/valyala/fasthttp"
)

// maxConnections bounds the connections to the upstream address.
const maxConnections = 512

// options are the command line options.
type options struct {
	Address string `long:"address" required:"yes" description:"Where it listens"`
	To      string `long:"to" required:"yes" description:"Where it sends requests"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	client := &fasthttp.HostClient{Addr: o.To, MaxConns: maxConnections}
	handler := func(ctx *fasthttp.RequestCtx) {
		if err := client.Do(&ctx.Request, &ctx.Response); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadGateway)
		}
	}
	if err := fasthttp.ListenAndServe(o.Address, handler); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}
