package gateway

import (
	"net/textproto"
	"strings"
)

// hopHeaders are the headers that concern one connection only and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// ConcernsConnection reports whether a header, by its canonical name, concerns one connection
// only, because it always does or because the Connection header names it. named is the result
// of ConnectionNames.
func ConcernsConnection(name string, named map[string]bool) bool {
	return hopHeaders[name] || named[name]
}

// ConnectionNames returns the headers that are named in the values of a Connection header.
func ConnectionNames(values ...string) map[string]bool {
	names := make(map[string]bool)
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				names[textproto.CanonicalMIMEHeaderKey(name)] = true
			}
		}
	}
	return names
}
