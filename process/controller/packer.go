package controller

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

// maxPackedUpdates bounds the number of cached updates.
const maxPackedUpdates = 64

var packedTotal = metrics.NewCounter("hornbeam_updates_packed_total")

// packer encodes each update once for all nodes that need the same one, and caches
// the result. It is safe for concurrent use.
//
// Load pattern: after a restart of all nodes, every node requests the whole state
// at about the same time; after a change, all nodes request the same difference.
// Encoding a long document for each node takes a small control host seconds.
type packer struct {
	mu     sync.Mutex
	packed map[updateKey][]byte
}

// updateKey identifies the content of an update: states with the same version, revision
// and poison requests are equal on every control host.
type updateKey struct {
	fromVersion, fromRevision, version, revision, digest, endpointsHash, suspectsHash uint64
	suspectsChanged                                                                   bool
}

// pack returns the encoded update, or the error of the encoder. The caller must not
// change the bytes.
func (p *packer) pack(u differ.Update) ([]byte, error) {
	key := updateKey{u.FromVersion, u.FromRevision, u.Version, u.Revision, u.Digest, u.EndpointsHash, u.SuspectsHash, u.SuspectsChanged}
	// Concurrent callers with the same update wait here instead of encoding it too.
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, ok := p.packed[key]; ok {
		return b, nil
	}
	packedTotal.Inc()
	b, err := differ.Pack(u)
	if err != nil {
		return nil, err
	}
	if p.packed == nil || len(p.packed) >= maxPackedUpdates || !p.matchesState(key) {
		p.packed = map[updateKey][]byte{}
	}
	p.packed[key] = b
	return b, nil
}

// matchesState reports whether the cached updates lead to the same state as key.
func (p *packer) matchesState(key updateKey) bool {
	for k := range p.packed {
		return k.version == key.version && k.revision == key.revision
	}
	return true
}
