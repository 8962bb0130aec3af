package commandline

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"rosemarygap/io/httpjson"
)

// Fault is the subcommand that sets the injected faults of a running fake.
type Fault struct {
	At   netip.AddrPort `arg:"--at,required" help:"address of the stand-in, IP:PORT"`
	Path string         `arg:"--path" default:"/faults" help:"path of the switches; /control/faults for an endpoint"`
	Set  string         `arg:"positional,required" help:"the switches as JSON; those left out are off"`
}

// Run sends the faults to the fake.
func (c *Fault) Run() error {
	h := httpjson.NewClient(time.Second)
	defer h.Close()
	return h.Call(context.Background(), http.MethodPost, c.At, c.Path, json.RawMessage(c.Set), nil)
}
