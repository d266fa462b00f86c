package forward

import (
	"net/url"
	"strings"
)

// requestURL returns the URL of a request at a server, with path and query as
// the caller wrote them. The opaque form is sent as it is, without another
// round of escaping.
func requestURL(uri, address string) *url.URL {
	path, query, hasQuery := strings.Cut(uri, "?")
	u := &url.URL{Scheme: "http", Host: address, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if strings.HasPrefix(path, "//") {
		u.Path = path
	} else {
		u.Opaque = path
	}
	return u
}
