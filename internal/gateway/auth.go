package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// keySum is the SHA-256 sum of a bearer key. Looking a sum up tells nothing
// of the keys, however long it takes.
type keySum [sha256.Size]byte

// keyIndex finds the organisation of a key in one revision.
type keyIndex struct {
	revision *config.Revision
	names    map[keySum]string
}

func newKeyIndex(rev *config.Revision) *keyIndex {
	index := &keyIndex{revision: rev, names: map[keySum]string{}}
	for name, org := range rev.Config.Organisations {
		for _, text := range org.KeysSHA256 {
			var sum keySum
			if n, err := hex.Decode(sum[:], []byte(text)); err == nil && n == len(sum) {
				index.names[sum] = name
			}
		}
	}
	return index
}

// keysOf returns the index of a revision, built when the revision first
// comes.
func (g *Gateway) keysOf(rev *config.Revision) *keyIndex {
	if index := g.keys.Load(); index != nil && index.revision == rev {
		return index
	}
	index := newKeyIndex(rev)
	g.keys.Store(index)
	return index
}

// organisation returns whose key the caller sent.
func (g *Gateway) organisation(r *http.Request) (string, *config.Organisation, error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", nil, outcome.Refuse(outcome.CodeUnauthorised, 0, "no key: send Authorization: Bearer KEY")
	}
	rev := g.Config.Current()
	if rev.Number == 0 {
		return "", nil, outcome.Refuse(outcome.CodeNoBackend, startRetry, "this node has no configuration yet: use another address of /v1/addresses")
	}
	name, ok := g.keysOf(rev).names[sha256.Sum256([]byte(key))]
	if !ok {
		return "", nil, outcome.Refuse(outcome.CodeUnauthorised, 0, "the key is not known: ask the operator for a new one")
	}
	return name, rev.Config.Organisations[name], nil
}
