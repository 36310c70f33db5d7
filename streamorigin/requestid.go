package streamorigin

import (
	"crypto/sha256"
	"encoding/hex"
	"unicode/utf8"

	"github.com/carawaystile/carawaystile/rpc"
)

const (
	// maxRequestIDBytes bounds the ID by which a request is remembered.
	maxRequestIDBytes = 64
	// hashedIDPrefix and hashedIDBytes are those of the ID of a request that has a longer one.
	hashedIDPrefix = "sha256-"
	hashedIDBytes  = 20
)

// identify returns the ID by which a request is remembered. Callers choose their IDs: one that is long, or no
// text that a message between instances can hold, is replaced by its hash.
func identify(request string) string {
	if len(request) <= maxRequestIDBytes && utf8.ValidString(request) {
		return request
	}
	hash := sha256.Sum256([]byte(request))
	return hashedIDPrefix + hex.EncodeToString(hash[:hashedIDBytes])
}

// identifyAll replaces the IDs of origins that another instance has sent.
func identifyAll(origins []*rpc.StreamOrigin) {
	for _, o := range origins {
		o.Request = identify(o.GetRequest())
	}
}
