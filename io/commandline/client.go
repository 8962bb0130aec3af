package commandline

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"rosemarygap/io/httpjson"
)

// callTimeout bounds one call to an entry.
const callTimeout = 15 * time.Second

// Target is the entry that an operator's subcommand talks to.
type Target struct {
	Entry netip.AddrPort `arg:"--entry,required,env:ROSEMARYGAP_ENTRY" help:"operator address of any entry, IP:PORT"`
	Token string         `arg:"--token,env:ROSEMARYGAP_OPERATOR_TOKEN" help:"operator token of the entry"`
}

// call sends one message to the entry.
func (t *Target) call(method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	c := httpjson.NewClient(callTimeout, httpjson.WithToken(t.Token))
	defer c.Close()
	return c.Call(ctx, method, t.Entry, path, in, out)
}

func (t *Target) get(path string, out any) error {
	return t.call(http.MethodGet, path, nil, out)
}
