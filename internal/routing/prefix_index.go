package routing

import (
	"container/list"
	"slices"
)

const (
	// maxHoldersPerBlock bounds the replicas recorded for one block.
	maxHoldersPerBlock = 4
	// MaxCachedPrefixes bounds the number of replicas that a lookup returns.
	MaxCachedPrefixes = 4
)

// CachedPrefix is the estimated part of a prompt that a replica has in its prefix
// cache.
type CachedPrefix struct {
	// Replica is the ID of the replica.
	Replica string
	// Blocks is the number of leading prompt blocks in its cache.
	Blocks int
}

// PrefixIndex estimates which replicas have which prompt blocks in their cache,
// as a least-recently-used list of limited size. It is not safe for concurrent
// use.
type PrefixIndex struct {
	limit  int
	blocks map[uint64]*list.Element
	order  *list.List
}

type prefixEntry struct {
	hash    uint64
	holders []string
}

// NewPrefixIndex returns an empty index of at most limit blocks.
func NewPrefixIndex(limit int) *PrefixIndex {
	return &PrefixIndex{limit: limit, blocks: map[uint64]*list.Element{}, order: list.New()}
}

// Add records that a replica now has the blocks in its cache. The shortest
// prefix comes first.
func (x *PrefixIndex) Add(replica string, blocks []uint64) {
	for _, h := range slices.Backward(blocks) {
		x.add(replica, h)
	}
	for x.order.Len() > x.limit {
		old := x.order.Remove(x.order.Back()).(*prefixEntry)
		delete(x.blocks, old.hash)
	}
}

func (x *PrefixIndex) add(replica string, hash uint64) {
	at := x.blocks[hash]
	if at == nil {
		x.blocks[hash] = x.order.PushFront(&prefixEntry{hash: hash, holders: []string{replica}})
		return
	}
	x.order.MoveToFront(at)
	e := at.Value.(*prefixEntry)
	if i := slices.Index(e.holders, replica); i >= 0 {
		e.holders = slices.Delete(e.holders, i, i+1)
	} else if len(e.holders) >= maxHoldersPerBlock {
		e.holders = e.holders[:maxHoldersPerBlock-1]
	}
	e.holders = slices.Insert(e.holders, 0, replica)
}

// Drop records that a replica no longer has the block.
func (x *PrefixIndex) Drop(replica string, hash uint64) {
	at := x.blocks[hash]
	if at == nil {
		return
	}
	e := at.Value.(*prefixEntry)
	if i := slices.Index(e.holders, replica); i >= 0 {
		e.holders = slices.Delete(e.holders, i, i+1)
	}
	if len(e.holders) == 0 {
		x.order.Remove(at)
		delete(x.blocks, hash)
	}
}

// CachedBlocks returns how many leading blocks a replica is estimated to have in its
// cache.
func (x *PrefixIndex) CachedBlocks(replica string, blocks []uint64) int {
	for i, h := range blocks {
		at := x.blocks[h]
		if at == nil || !slices.Contains(at.Value.(*prefixEntry).holders, replica) {
			return i
		}
	}
	return len(blocks)
}

// Lookup appends to out the replicas with the most leading blocks in their
// cache, the longest match first, up to MaxCachedPrefixes.
func (x *PrefixIndex) Lookup(out []CachedPrefix, blocks []uint64) []CachedPrefix {
	for i, h := range slices.Backward(blocks) {
		at := x.blocks[h]
		if at == nil {
			continue
		}
		for _, replica := range at.Value.(*prefixEntry).holders {
			listed := slices.ContainsFunc(out, func(c CachedPrefix) bool { return c.Replica == replica })
			if !listed && len(out) < MaxCachedPrefixes {
				out = append(out, CachedPrefix{Replica: replica, Blocks: i + 1})
			}
		}
		if len(out) >= MaxCachedPrefixes {
			break
		}
	}
	return out
}
