package forward

import (
	"net/url"
	"strings"
)

// requestURL returns the URL of a request at a server with the path and query
// of the caller. The opaque form is sent without being escaped again.
func requestURL(uri, address string) *url.URL {
	path, query, hasQuery := strings.Cut(uri, "?")
	u := &url.URL{Scheme: "http", Host: address, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if !strings.HasPrefix(path, "//") {
		u.Opaque = path
		return u
	}
	// net/http would send an opaque form that begins with two slashes as a complete URL.
	if decoded, err := url.PathUnescape(path); err == nil {
		u.Path, u.RawPath = decoded, path
	}
	return u
}

// canForward reports whether path and query can be sent to a server unchanged. A path that
// begins with two slashes cannot if it has characters that a URL must escape.
func canForward(uri string) bool {
	return !strings.HasPrefix(uri, "//") || requestURL(uri, "").RequestURI() == uri
}
