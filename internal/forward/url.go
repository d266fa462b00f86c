package forward

import (
	"net/url"
	"strings"
)

// requestURL returns the URL of a request at a server with the path and query
// of the caller unchanged. The opaque form is sent without being escaped again.
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
