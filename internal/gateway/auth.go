package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// keySum is the SHA-256 sum of a bearer key. The time of a lookup by sum
// reveals nothing about the keys.
type keySum [sha256.Size]byte

// keyIndex maps the bearer keys of one configuration revision to organisations.
type keyIndex struct {
	revision      *config.Revision
	organisations map[keySum]string
}

func newKeyIndex(rev *config.Revision) *keyIndex {
	index := &keyIndex{revision: rev, organisations: map[keySum]string{}}
	for name, org := range rev.Config.Organisations {
		for _, text := range org.KeysSHA256 {
			var sum keySum
			if n, err := hex.Decode(sum[:], []byte(text)); err == nil && n == len(sum) {
				index.organisations[sum] = name
			}
		}
	}
	return index
}

// keyIndexFor returns the index of a revision. It is built on first use.
func (g *Gateway) keyIndexFor(rev *config.Revision) *keyIndex {
	if index := g.keys.Load(); index != nil && index.revision == rev {
		return index
	}
	index := newKeyIndex(rev)
	g.keys.Store(index)
	return index
}

// authenticate returns the organisation whose key the caller sent.
func (g *Gateway) authenticate(r *http.Request) (string, *config.Organisation, error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", nil, outcome.Refuse(outcome.CodeUnauthorised, 0, "no key: send Authorization: Bearer KEY")
	}
	rev := g.Config.Current()
	if rev.Number == 0 {
		return "", nil, outcome.Refuse(outcome.CodeNoBackend, noConfigRetry, "this node has no configuration yet: use another address of /v1/addresses")
	}
	name, ok := g.keyIndexFor(rev).organisations[sha256.Sum256([]byte(key))]
	if !ok {
		return "", nil, outcome.Refuse(outcome.CodeUnauthorised, 0, "the key is not known: ask the operator for a new one")
	}
	return name, rev.Config.Organisations[name], nil
}
