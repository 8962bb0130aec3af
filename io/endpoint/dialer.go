package endpoint

import "net"

var dialer = &net.Dialer{Timeout: dialTimeout}
